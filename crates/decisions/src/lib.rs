//! Pure decision logic of the router fleet.
//!
//! Nothing here performs I/O or reads a clock: every function takes ordered
//! records, evidence and clock values as arguments, so that traces replay
//! deterministically.

#[macro_use]
mod macros;

pub mod bill;
pub mod claim;
pub mod config;
pub mod labels;
pub mod lease;
pub mod membership;
pub mod names;
pub mod routing;
pub mod session;
pub mod time;
