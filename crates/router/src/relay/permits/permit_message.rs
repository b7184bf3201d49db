//! Messages about the limits of upstreams and the permits to send to them.

use std::time::Duration;

use ferry_decisions::limits::{ColdStatement, StatedLimits};
use ferry_decisions::names::ServiceName;
use ferry_decisions::registry::UpstreamIncarnation;
use serde::{Deserialize, Serialize};

/// What a router last heard of an upstream's limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Upstream.
    pub upstream: UpstreamIncarnation,
    /// Its service; absent from routers of an older build.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// What it stated; none if it names no limit any more.
    pub stated: StatedLimits,
    /// Milliseconds since that was heard.
    pub heard_ms: u64,
    /// How much longer the upstream is cold; absent if it is not, and from routers of an older build.
    #[serde(default)]
    pub cold: Option<ColdNotice>,
}

/// That an upstream is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// Identifies the statement of the upstream.
    pub id: u64,
    /// Whether its entry states it.
    pub is_entry: bool,
    /// Milliseconds for which it is still cold.
    pub left_ms: u64,
}

impl From<ColdStatement> for ColdNotice {
    fn from(statement: ColdStatement) -> Self {
        Self {
            id: statement.id,
            is_entry: statement.is_entry,
            left_ms: statement.left.as_millis() as u64,
        }
    }
}

impl From<ColdNotice> for ColdStatement {
    fn from(notice: ColdNotice) -> Self {
        Self {
            id: notice.id,
            is_entry: notice.is_entry,
            left: Duration::from_millis(notice.left_ms),
        }
    }
}

/// That the upstreams of a service are brittle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BrittleNotice {
    /// Service.
    pub service: ServiceName,
    /// Rejections in a second that each of its upstreams survives.
    pub survived: u32,
    /// Milliseconds since the first answer that said so.
    pub since_ms: u64,
    /// Milliseconds since the last one.
    pub heard_ms: u64,
}

/// What is known of upstreams and services; routers of an older build know no services.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LimitNews {
    /// Statements of upstreams.
    pub limits: Vec<LimitNotice>,
    /// Services whose upstreams are brittle.
    pub brittle: Vec<BrittleNotice>,
}

/// Load of an upstream as one of its answers stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLoad {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Milliseconds since the answer.
    pub age_ms: u64,
}

/// Details of a query for a permit to send to a brittle upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitDetails {
    /// Number of the permit at the asking router.
    pub number: u64,
    /// Rejections in a second that the upstream survives, as far as the asking router knows or assumes.
    pub survived: u32,
    /// Requests that the upstream runs at once, by its entry.
    pub slots: u32,
    /// Milliseconds after which the permit ends by itself.
    pub lifetime_ms: u64,
    /// Last load that the asking router heard of.
    pub load: Option<StatedLoad>,
}

/// What became of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitEvent {
    /// The upstream has begun to answer.
    Answering,
    /// The request is answered.
    Done,
    /// The request was not sent, or is no longer waited for.
    Unused,
    /// The upstream rejected it for want of room.
    Rejected,
}

/// Report of it to the issuer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReport {
    /// Upstream.
    pub upstream: UpstreamIncarnation,
    /// Number of the permit at the reporting router.
    pub number: u64,
    /// What became of it.
    pub event: PermitEvent,
    /// Whether the request was sent although it is no longer waited for, so that the upstream may run it on.
    #[serde(default)]
    pub was_sent: bool,
    /// Milliseconds since then.
    pub age_ms: u64,
    /// Load that the answer stated.
    pub load: Option<StatedLoad>,
}

/// What a query is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitPurpose {
    /// Asks for a permit.
    Permit,
    /// Reports that a request without a permit was rejected for want of room.
    Rejection,
    /// Reports what was heard, and what became of permits.
    Notice,
}

/// Query to the router that issues the permits of an upstream.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitQuery {
    /// What the asking router last heard of the limit.
    pub notice: LimitNotice,
    /// What it asks for or reports.
    pub purpose: PermitPurpose,
    /// Details of the permit that it asks for; absent if the upstream is not brittle, and from routers of an older build.
    #[serde(default)]
    pub details: Option<PermitDetails>,
    /// What became of earlier permits, of any upstream.
    #[serde(default)]
    pub reports: Vec<PermitReport>,
    /// Requests per second that the upstream takes while it is cold; absent if the asking router does not know it to be.
    #[serde(default)]
    pub cold_per_second: Option<f64>,
}

/// Answer to it.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// What the answering router last heard of the limit.
    pub notice: LimitNotice,
    /// Time after which to ask again, in milliseconds; absent if the permit is issued.
    pub wait_ms: Option<u64>,
    /// Requests per second that a brittle upstream has answered lately.
    #[serde(default)]
    pub per_second: Option<f64>,
    /// Whether the answering router keeps the limits of cold upstreams; one of an older build does not.
    #[serde(default)]
    pub keeps_cold: bool,
}
