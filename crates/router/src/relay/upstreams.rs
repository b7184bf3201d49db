//! Upstreams, their load and latency as input to the choice among them, and connections to them.

mod relay_upstream;
mod unproven_ends;
mod upstream_directory;
mod upstream_link;

pub use relay_upstream::{InFlightGuard, RelayUpstream};
pub use unproven_ends::UnprovenEnd;
pub use upstream_directory::UpstreamDirectory;
pub use upstream_link::{LinkLease, UpstreamLink};
