//! Upstreams, their load and latency as input to the choice among them, and connections to them.

mod in_flight_guard;
mod relay_upstream;
mod unproven_ends;
mod upstream_activity;
mod upstream_directory;
mod upstream_link;
mod upstream_route;

pub use in_flight_guard::InFlightGuard;
pub use relay_upstream::RelayUpstream;
pub use unproven_ends::UnprovenEnd;
pub use upstream_directory::UpstreamDirectory;
pub use upstream_link::{LinkLease, UpstreamLink};
