//! Freshness lease: whether the configuration is known to be fresh enough to admit work.

mod lease_cell;

pub use lease_cell::{LeaseCell, LeaseProblem};
