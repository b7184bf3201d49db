//! Messages about the limits of upstreams and the permits to send to them.

use ferry_decisions::registry::UpstreamIncarnation;
use serde::{Deserialize, Serialize};

/// What a router last heard of an upstream's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Upstream.
    pub upstream: UpstreamIncarnation,
    /// Requests per second that it takes from all routers together; absent if it named no limit any more.
    pub per_second: Option<f64>,
    /// Milliseconds since that was heard.
    pub heard_ms: u64,
}

/// Query to the router that issues the permits of an upstream.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitQuery {
    /// What the asking router last heard of the limit.
    pub notice: LimitNotice,
    /// Whether it asks for a permit.
    pub wants_permit: bool,
}

/// Answer to it.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// What the answering router last heard of the limit.
    pub notice: LimitNotice,
    /// Time after which to ask again, in milliseconds; absent if the permit is issued.
    pub wait_ms: Option<u64>,
}
