//! Shared load: what work the routers have outstanding at each upstream, how slow each upstream has been, and the newest load that it stated.
//!
//! Runs are observed while the configuration lists models of their service. The figures are exchanged while such a service has upstreams that state
//! how contended their machines are, and more than one router is known.

mod demand_exchange;
mod load_exchange;
mod load_manager;
mod load_message;
mod load_metrics;
mod load_reply;
mod run_watch;
mod service_load;
mod share_manager;
mod share_metrics;
mod start_stages;

pub use load_manager::{HeadTime, LoadManager};
pub use load_reply::answer_query;
pub use run_watch::{RunFacts, RunWatch};
pub use share_manager::{CountedDemand, DemandFacts, has_shares};
pub use share_metrics::count_share_rejection;
pub use start_stages::StartStages;

use ferry_kernel::supervisor::TaskPlan;

use super::relay_core::SharedCore;

/// Starts the task that exchanges the figures.
pub fn start(core: &SharedCore) {
    core.keep(TaskPlan::essential("shared load"), load_exchange::follow);
}
