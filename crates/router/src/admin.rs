//! Interface for operators: health, metrics, status and decision traces.

mod admin_server;
mod router_status;

pub use admin_server::handle;
pub use router_status::{RouterStatus, status_of};
