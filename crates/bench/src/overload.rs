//! Experiments of the kind `overload`: choice, admission and retries at and beyond capacity.
//!
//! Several routers' decision state runs against one pool of fake engines on a virtual clock. Each
//! policy sees the same arrivals and faults.

mod arrival_trace;
mod event_queue;
mod overload_experiment;
mod overload_report;
mod overload_run;
mod peer_exchange;
mod phase_figures;
mod router_state;
mod run_figures;
mod virtual_engine;
mod work_item;

pub use overload_experiment::{
    AdmissionMode, ClassLoad, EngineFault, EnginePool, FaultKind, OverloadExperiment, PhaseLoad,
    PolicyArm, RetryMode, RouterFleet,
};
pub use overload_report::play;
