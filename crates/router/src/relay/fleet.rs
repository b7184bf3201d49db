//! The routers of the fleet: how they find one another through the store, and how most of them get
//! the store's content from another router.
//!
//! In each availability zone the first router in a fixed order reads the store, and the others sync
//! from it. Nothing depends on which router that is: a router whose sync source does not answer, is
//! slow or has no contact with the store reads the store itself at once.

mod feed_client;
mod feed_message;
mod feed_source;
mod fleet_join;
mod fleet_manager;
mod operator_records;
mod peer_body;
mod record_patch;

pub use feed_message::{EvidenceRecord, PooledRollout};
pub use feed_source::FeedSource;
pub use fleet_manager::FleetManager;
pub use peer_body::{read as read_body, read_record, write as write_body};

use super::relay_core::SharedCore;

/// Starts the tasks that join the fleet and sync from another router.
pub fn start(core: &SharedCore) {
    core.spawn(fleet_join::keep_joined(core.clone()));
    core.spawn(feed_client::follow(core.clone()));
}
