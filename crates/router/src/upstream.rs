//! Upstreams: their table, their load, and the placement of requests on them.

mod host_poll;
mod load_poll;
mod placement;
mod upstream_host;
mod upstream_table;

pub use placement::{PlacementQuery, PlacementRule, place, place_service_call};
pub use upstream_host::{InFlightGuard, UpstreamHost};
pub use upstream_table::UpstreamTable;
