//! Upstreams: which there are, how loaded they are, and which one gets a request.

mod host_poll;
mod load_poll;
mod placement;
mod upstream_host;
mod upstream_table;

pub use placement::{PlaceRule, PlacementQuery, place, place_call};
pub use upstream_host::{FlightGuard, UpstreamHost};
pub use upstream_table::UpstreamTable;
