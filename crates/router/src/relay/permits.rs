//! Limits that upstreams name in their answers, and the permits to send to such an upstream, which one router of the fleet issues to all.

mod limit_book;
mod permit_issuer;
mod permit_manager;
mod permit_message;
mod permit_query;
mod return_times;

pub use permit_manager::PermitManager;
pub use permit_message::{LimitNotice, StatedLimits};
pub use permit_query::{answer_query, report_rejection, take_permit};

use super::relay_core::SharedCore;

/// Starts the task that reports ended limits to the routers that issue the permits.
pub fn start(core: &SharedCore) {
    core.spawn(permit_query::report_ends(core.clone()));
}
