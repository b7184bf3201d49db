//! Messages about the limits of upstreams and the permits to send to them.

use ferry_decisions::registry::UpstreamIncarnation;
use serde::{Deserialize, Serialize};

/// What an upstream states of the requests that it takes from all routers together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StatedLimits {
    /// Requests per second; absent if it names no limit.
    pub per_second: Option<f64>,
    /// Rejections per second after which it breaks down; absent if it does not say that it is brittle.
    #[serde(default)]
    pub rejections: Option<u32>,
}

impl StatedLimits {
    /// Whether it states none.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// What a router last heard of an upstream's limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Upstream.
    pub upstream: UpstreamIncarnation,
    /// What it stated; none if it names no limit any more.
    pub stated: StatedLimits,
    /// Milliseconds since that was heard.
    pub heard_ms: u64,
}

/// What a query is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitPurpose {
    /// Asks for a permit.
    Permit,
    /// Reports that a request was rejected for want of room.
    Rejection,
    /// Reports what was heard.
    Notice,
}

/// Query to the router that issues the permits of an upstream.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitQuery {
    /// What the asking router last heard of the limit.
    pub notice: LimitNotice,
    /// What it asks for or reports.
    pub purpose: PermitPurpose,
}

/// Answer to it.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// What the answering router last heard of the limit.
    pub notice: LimitNotice,
    /// Time after which to ask again, in milliseconds; absent if the permit is issued.
    pub wait_ms: Option<u64>,
}
