//! Limits that upstreams name in their answers, and the permits to send to such an upstream, which one router of the fleet issues to all.

mod cold_state;
mod permit_issuer;
mod permit_manager;
mod permit_message;
mod permit_metrics;
mod permit_query;
mod permit_reply;
mod permit_reports;
mod report_queue;
mod return_times;
mod send_permit;
mod upstream_waits;

pub use cold_state::{
    cold_rate, limited_rate, needs_permit, permit_wait, record_cold_answer, record_cold_entry,
};
pub use permit_manager::PermitManager;
pub use permit_message::{BrittleNotice, LimitNews, LimitNotice};
pub use permit_metrics::{count_brittle_answer, count_brittle_end, count_brittle_rejection};
pub use permit_query::{report_rejection, take_permit};
pub use permit_reply::answer_query;
pub use send_permit::SendPermit;

use ferry_kernel::supervisor::TaskPlan;

use super::relay_core::SharedCore;

/// Starts the tasks that report ended limits and the ends of permits to the routers that issue the permits, and the one that follows cold
/// upstreams.
pub fn start(core: &SharedCore) {
    core.keep(
        TaskPlan::essential("ends of limits"),
        permit_query::report_ends,
    );
    core.keep(
        TaskPlan::essential("permit reports"),
        permit_reports::send_reports,
    );
    core.keep(
        TaskPlan::essential("cold upstreams"),
        cold_state::watch_cold,
    );
}
