//! Upstreams as the platform's store names them: folded from entries that come late, twice, out of
//! order or malformed.

mod upstream_record;
mod upstream_roster;

pub use upstream_record::{UpstreamLife, UpstreamRecord, UpstreamStage};
pub use upstream_roster::{RosterChange, UpstreamRoster};
