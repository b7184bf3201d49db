//! Background tasks that follow the store: the operator's records and the upstreams' entries.

mod era_check;
mod operator_watch;
mod outage_log;
mod rules_fetch;
mod rules_query;
mod rules_update;
mod topic_reader;
mod unreadable_log;
mod upstream_watch;

pub use operator_watch::{apply_synced as apply_synced_operator, read_operator};
pub use outage_log::OutageLog;
pub use rules_query::answer_query as answer_rules_query;
pub use topic_reader::{TopicChanges, TopicReader};
use unreadable_log::{UnreadableLog, UnreadableRecord};
pub use upstream_watch::{SyncedUpstreams, apply_synced as apply_synced_upstreams};

use ferry_kernel::supervisor::TaskPlan;

use super::relay_core::SharedCore;
use super::{crashes, evacuation, fleet, paths, permits, rollouts, workload};

/// Starts the tasks that follow the store and those that share its content with other routers.
pub fn start(core: &SharedCore) {
    core.keep(
        TaskPlan::essential("operator records"),
        operator_watch::follow,
    );
    core.keep(TaskPlan::essential("era checks"), era_check::follow);
    core.keep(
        TaskPlan::essential("rules of other routers"),
        rules_fetch::follow,
    );
    core.keep(
        TaskPlan::essential("upstream entries"),
        upstream_watch::follow,
    );
    core.keep(TaskPlan::essential("roll-outs"), rollouts::follow);
    core.keep(
        TaskPlan::essential("ends of evacuations"),
        evacuation::expire,
    );
    core.keep(
        TaskPlan::helper("session expiry"),
        rollouts::expire_sessions,
    );
    crashes::start(core);
    paths::start(core);
    permits::start(core);
    workload::start(core);
    fleet::start(core);
}
