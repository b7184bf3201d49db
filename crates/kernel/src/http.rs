//! Small HTTP helpers over `hyper`, shared by the daemons and the tools.

mod arrival;
mod body;
mod body_budget;
mod caller_stream;
mod client;
mod event_splitter;
mod framing;
mod joined_body;
mod paced_connector;
mod paced_stream;
mod request_memory;
mod server;
mod socket_state;

use std::time::Duration;

/// Time after which a server closes a connection on which it received no request head, idle
/// connections included. Clients close idle connections earlier, so that no request is sent on a
/// connection that the server is closing.
pub const KEEP_ALIVE: Duration = Duration::from_secs(10);

pub use arrival::ArrivalTime;
pub use body::{
    BodyError, BoxError, HttpBody, collect_limited, empty, full, json_response, streamed,
};
pub use body_budget::BodyBudget;
pub use client::{CallTimes, HttpClient, HttpError, HttpRequest, successful_body};
pub use event_splitter::{EventSplitter, EventTooLong, complete_events};
pub use framing::BodyFraming;
pub use joined_body::{JoinedBody, held_piece_bytes};
pub use paced_stream::{HeadLimit, PacedStream, ReadMeter};
pub use request_memory::{BodyRoom, HeldBody, RequestMemory};
pub use server::{LimitsCell, Server, ServerHandle, ServerLimits, dropped_connection};
