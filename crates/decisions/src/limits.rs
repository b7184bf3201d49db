//! Fleet-wide rate limits: of workspaces, which each router enforces by the demand of all routers, and of upstreams, for which one
//! router gives turns to all.

mod brittle_service;
mod cold_limit;
mod issuer_choice;
mod limit_book;
mod local_limit;
mod pending_reports;
mod pooled_demand;
mod pooled_limit;
mod room_guard;
mod stated_limits;
mod upstream_limiter;

pub use brittle_service::BrittleService;
pub use cold_limit::{
    ColdAllowance, ColdBook, ColdBound, ColdFacts, ColdSpec, ColdStatement, MAX_COLD_TIME,
};
pub use issuer_choice::{IssuerChoice, fixed_issuers, is_first_issuer};
pub use limit_book::{HeardLimit, LimitBook};
pub use local_limit::LocalLimit;
pub use pending_reports::{PendingReport, PendingReports};
pub use pooled_demand::{OfferedCount, PooledDemand};
pub use pooled_limit::{LimitConfig, LimitRefusal, PooledLimit};
pub use room_guard::{PermitKey, PermitOutcome, RoomGuard, RoomLoad, RoomQuery};
pub use stated_limits::StatedLimits;
pub use upstream_limiter::UpstreamLimiter;
