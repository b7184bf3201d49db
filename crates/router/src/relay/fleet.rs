//! The routers of the fleet: how they find one another through the store, and how most of them
//! learn from a neighbour what it read there.
//!
//! In each availability zone the first router in a fixed order reads the store, and the others ask it.
//! Nothing depends on who that is: a router whose neighbour is silent, slow or out of touch reads the
//! store for itself at once.

mod break_report;
mod feed_client;
mod feed_message;
mod feed_source;
mod fleet_desk;
mod fleet_join;
mod peer_body;

pub use break_report::{BreakReport, tell_fleet};
pub use feed_message::{EvidenceRecord, PooledRollout};
pub use feed_source::FeedSource;
pub use fleet_desk::FleetDesk;
pub use peer_body::write as write_body;

use super::relay_core::SharedCore;

/// Starts to find the other routers and to learn from them.
pub fn start(core: &SharedCore) {
    core.spawn(fleet_join::keep_joined(core.clone()));
    core.spawn(feed_client::follow(core.clone()));
}
