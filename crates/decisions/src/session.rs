//! Sessions: signed tokens that pin a conversation to the versions it started on.

mod session_token;

pub use session_token::{SessionError, SessionKeys, SessionToken, SigningKey};
