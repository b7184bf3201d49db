//! The operators' interface: health, metrics, status, explanations.

mod admin_server;
mod router_status;

pub use admin_server::handle;
pub use router_status::{RouterStatus, status_of};
