//! The callers' interface: requests in, answers and refusals out.

mod caller_refusal;
mod caller_request;
mod caller_server;
mod chat_handler;
mod service_handler;

pub use caller_refusal::{CallerRefusal, RefusalKind, RunState};
pub use caller_request::{CallerRequest, RequestClass, SessionAsk};
pub use caller_server::handle;
