//! Interface for callers: reads requests and sends answers and refusals.

mod caller_refusal;
mod caller_request;
mod caller_server;
mod chat_handler;
mod service_handler;

pub use caller_refusal::{CallerRefusal, RefusalKind};
pub use caller_request::{CallerRequest, SessionRequest};
pub use caller_server::handle;
