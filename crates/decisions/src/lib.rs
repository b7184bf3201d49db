//! Pure decision logic of the router fleet.
//!
//! This crate performs no I/O and reads no clock: every function takes ordered
//! records, observations and clock values as arguments, so that recorded inputs
//! replay deterministically.

#[macro_use]
mod macros;

pub mod admission;
pub mod answer;
pub mod bill;
pub mod cascade;
pub mod choice;
pub mod claim;
pub mod config;
pub mod ends;
pub mod evacuation;
pub mod guard;
mod hash_point;
pub mod labels;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod memory;
pub mod names;
pub mod paths;
pub mod quarantine;
pub mod registry;
pub mod retry;
pub mod revision;
pub mod rollout;
pub mod routing;
pub mod ruleset;
pub mod session;
pub mod supervision;
pub mod sync;
pub mod time;
pub mod topic;
pub mod workload;

pub use hash_point::hash_point;
