//! Faults that are ordered over HTTP, and the gate that every call passes.
//!
//! `PUT /standin/faults` with a [`FaultOrder`] replaces all faults in force, `DELETE` lifts them,
//! `GET` shows them. Calls below `/standin/` are never subject to a fault.

mod fault_gate;
mod fault_order;

pub(crate) use fault_gate::FaultGate;
pub use fault_order::{
    AnswerLoss, CrashOrder, FaultOrder, OrderError, OutageAnswer, OutageOrder, SlowOrder,
    StandinKind,
};
