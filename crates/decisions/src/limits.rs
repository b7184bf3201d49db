//! Limits of workspaces over the whole fleet, kept by each router from pooled demand.

mod local_limit;
mod pooled_demand;
mod pooled_limit;

pub use local_limit::LocalLimit;
pub use pooled_demand::{OfferedCount, PooledDemand};
pub use pooled_limit::{LimitConfig, LimitRefusal, PooledLimit};
