//! Small HTTP helpers over `hyper`, shared by the daemons and the tools.

mod body;
mod client;
mod server;

use std::time::Duration;

/// Time after which a server closes a connection on which no head of a request came, idle ones
/// included. Clients give idle connections up earlier, so that no call meets the close on its way.
pub const KEEP_ALIVE: Duration = Duration::from_secs(10);

pub use body::{
    BodyError, BoxError, HttpBody, collect_limited, empty, full, json_response, streamed,
};
pub use client::{HttpClient, HttpError, HttpRequest};
pub use server::{LimitsCell, Server, ServerHandle, ServerLimits, dropped_connection};
