//! Small HTTP helpers over `hyper`, shared by the daemons and the tools.

mod body;
mod client;
mod server;

pub use body::{
    BodyError, BoxError, HttpBody, collect_limited, empty, full, json_response, streamed,
};
pub use client::{HttpClient, HttpError, HttpRequest};
pub use server::{Server, ServerHandle, dropped_connection};
