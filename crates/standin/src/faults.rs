//! Injected faults, which are ordered over HTTP, and the gate that applies them to every call.
//!
//! `PUT /standin/faults` with a [`FaultOrder`] replaces all active faults, `DELETE` clears them and
//! `GET` returns them. Calls below `/standin/` are never subject to a fault.

mod fault_gate;
mod fault_order;

pub(crate) use fault_gate::FaultGate;
pub use fault_order::{
    AnswerLoss, CrashOrder, FaultOrder, OrderError, OutageAnswer, OutageOrder, SlowOrder,
    StandinKind,
};
