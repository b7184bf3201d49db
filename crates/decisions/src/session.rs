//! Sessions: signed tokens that pin a conversation to its versions.

mod session_token;

pub use session_token::{SessionError, SessionKeys, SessionToken, SigningKey};
