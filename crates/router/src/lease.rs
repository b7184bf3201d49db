//! Freshness lease: work is admitted only while the configuration is known to be fresh enough.

mod lease_cell;

pub use lease_cell::{LeaseCell, LeaseProblem};
