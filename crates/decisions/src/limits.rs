//! Fleet-wide rate limits: of workspaces, which each router enforces by the demand of all routers, and of upstreams, for which one
//! router gives turns to all.

mod local_limit;
mod pooled_demand;
mod pooled_limit;
mod rejection_guard;
mod upstream_limiter;

pub use local_limit::LocalLimit;
pub use pooled_demand::{OfferedCount, PooledDemand};
pub use pooled_limit::{LimitConfig, LimitRefusal, PooledLimit};
pub use rejection_guard::RejectionGuard;
pub use upstream_limiter::UpstreamLimiter;
