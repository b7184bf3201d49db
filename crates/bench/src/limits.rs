//! Experiments of the kind `limits`: the limit of one workspace, enforced by several routers.
//!
//! The routers exchange counts at intervals, with a delay. Routers join and crash, and a skewed
//! load balancer sends more than an equal share of the traffic to one of them.

mod admitted_limit;
mod limits_experiment;
mod limits_report;
mod limits_run;
mod offer_trace;

pub use limits_experiment::{FleetChange, FleetEvent, LimitPhase, LimitVariant, LimitsExperiment};
pub use limits_report::simulate;
