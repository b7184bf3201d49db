//! The edge to everything outside the fleet: log service, host list, rating
//! service and upstreams, with the types of their published protocols.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod ratings;
