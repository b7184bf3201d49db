//! Experiments of the kind `limits`: one workspace's limit kept by several routers.
//!
//! The routers exchange counts at intervals, with a delay. Routers join and die, and a skewed
//! balancer gives one of them more than its part.

mod achieved_limit;
mod limits_experiment;
mod limits_report;
mod limits_run;
mod offer_trace;

pub use limits_experiment::{FleetChange, FleetEvent, LimitArm, LimitPhase, LimitsExperiment};
pub use limits_report::play;
