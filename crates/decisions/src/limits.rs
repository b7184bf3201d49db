//! Fleet-wide rate limits of workspaces, which each router enforces by the demand of all routers.

mod local_limit;
mod pooled_demand;
mod pooled_limit;

pub use local_limit::LocalLimit;
pub use pooled_demand::{OfferedCount, PooledDemand};
pub use pooled_limit::{LimitConfig, LimitRefusal, PooledLimit};
