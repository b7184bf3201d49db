//! Requests that crash the upstreams that run them: the fleet's count, and how routers share it.
//!
//! Each router keeps rows of its own counts in a topic of the store, so that they outlive it. A router that reads
//! the store stores the rows of those that sync from it too, and passes all rows on to them with the feed. While
//! the store can't be used, routers exchange rows directly; a router that starts asks some of the others, and serves no request before.

mod crash_exchange;
mod crash_manager;
mod crash_report;

pub use crash_exchange::apply_synced;
pub use crash_manager::CrashManager;
pub use crash_report::answer_report;

use ferry_kernel::supervisor::TaskPlan;

use super::relay_core::SharedCore;

/// Starts the tasks that share the counts with the other routers.
pub fn start(core: &SharedCore) {
    core.keep(TaskPlan::essential("crash rows"), crash_exchange::follow);
    core.keep(
        TaskPlan::essential("crashes at the start").finite(),
        crash_exchange::ask_at_start,
    );
    core.keep(
        TaskPlan::essential("crash storage"),
        crash_exchange::publish,
    );
    core.keep(TaskPlan::essential("crash reports"), crash_exchange::report);
    core.keep(
        TaskPlan::helper("crash exchange"),
        crash_exchange::exchange_while_lacking,
    );
    core.keep(TaskPlan::helper("crash expiry"), crash_exchange::expire);
}
