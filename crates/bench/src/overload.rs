//! Experiments of the kind `overload`: upstream choice, admission and retries at and beyond
//! capacity.
//!
//! The decision state of several routers runs against one pool of simulated engines on a virtual
//! clock. Each policy gets the same arrivals and faults.

mod arrival_trace;
mod event_queue;
mod group_figures;
mod overload_experiment;
mod overload_report;
mod overload_run;
mod peer_exchange;
mod router_state;
mod run_figures;
mod simulated_request;
mod virtual_engine;

pub use overload_experiment::{
    AdmissionMode, ClassLoad, EngineFault, EnginePool, FaultKind, OverloadExperiment, PhaseLoad,
    PolicyVariant, RetryMode, RouterFleet,
};
pub use overload_report::simulate;
