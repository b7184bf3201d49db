//! Registry of upstreams, built from the entries in the platform's store. Entries may arrive late,
//! more than once, out of order or malformed.

mod left_upstream;
mod upstream_record;
mod upstream_registry;

pub use left_upstream::LeftUpstream;
pub use upstream_record::{UpstreamIncarnation, UpstreamRecord, UpstreamStage};
pub use upstream_registry::{RegistryChange, UpstreamRegistry};
