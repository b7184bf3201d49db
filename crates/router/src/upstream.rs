//! Upstreams: which there are, how loaded they are, and which one gets a request.

mod host_poll;
mod load_poll;
mod upstream_choice;
mod upstream_host;
mod upstream_table;

pub use upstream_choice::choose;
pub use upstream_host::{FlightGuard, UpstreamHost};
pub use upstream_table::UpstreamTable;
