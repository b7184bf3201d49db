//! The routers of the fleet: how they find one another through the store, and how most of them get
//! the store's content from another router.
//!
//! In each availability zone the first router in a fixed order reads the store, and the others sync
//! from it. Nothing depends on which router that is: a router whose sync source does not answer or has no contact
//! with the store asks others, and reads the store itself only if none of them has.

mod brief_query;
mod feed_message;
mod feed_position;
mod feed_query;
mod feed_reply;
mod feed_source;
mod fleet_join;
mod fleet_manager;
mod operator_records;
mod peer_body;
mod record_patch;
mod router_directory;
mod source_queries;
mod sync_task;

pub use feed_message::{EvidenceRecord, OngoingCount, PooledRollout, TopicPositions};
pub use feed_source::FeedSource;
pub use fleet_join::wait_for_routers;
pub use fleet_manager::FleetManager;
pub use peer_body::{read as read_body, read_record, write as write_body};
pub use record_patch::{compress, decompress};

use ferry_kernel::supervisor::TaskPlan;

use super::relay_core::SharedCore;

/// Starts the tasks that join the fleet and sync from another router.
pub fn start(core: &SharedCore) {
    core.keep(
        TaskPlan::essential("fleet join").finite(),
        fleet_join::join_fleet,
    );
    core.keep(
        TaskPlan::essential("router list"),
        fleet_join::follow_routers,
    );
    core.keep(TaskPlan::essential("feed"), sync_task::follow);
    core.keep(TaskPlan::essential("store probes"), sync_task::probe_store);
}
