//! Open-loop HTTP load on real routers over loopback.
//!
//! As a baseline, the same load can be sent directly to the engines.

mod load_call;
mod load_deployment;
mod load_error;
mod load_experiment;
mod load_figures;
mod load_report;
mod load_run;
mod load_step;
mod process_usage;

pub use load_error::LoadError;
pub use load_experiment::{EngineFleet, LoadExperiment, LoadKind, LoadStream};
pub use load_run::run;
