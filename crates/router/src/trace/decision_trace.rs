//! Decision trace of one request.

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::names::{HostName, RequestId, VersionName, WorkspaceName};
use ferry_decisions::routing::ExclusionReason;
use ferry_decisions::time::UnixMillis;
use serde::Serialize;

/// Decisions on one request, in the order in which they were made.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionTrace {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Priority class of the request.
    pub class: PriorityClass,
    /// Model, cascade, version or service that the caller named.
    pub target: String,
    /// Host of the router that made the decisions.
    pub router: HostName,
    /// Time at which the request arrived.
    pub arrived: UnixMillis,
    /// Offset of the first configuration record not yet included in the configuration used.
    pub config_offset: u64,
    /// Versions that were not used, with reasons.
    pub excluded: Vec<ExcludedVersion>,
    /// Dispatches and ratings in order.
    pub attempts: Vec<AttemptRecord>,
    /// Further decisions, as text.
    pub notes: Vec<String>,
    /// How the request ended; `None` while it is in progress.
    pub end: Option<TraceOutcome>,
}

/// Version that was not used.
#[derive(Debug, Clone, Serialize)]
pub struct ExcludedVersion {
    /// Name of the version.
    pub version: VersionName,
    /// Reason why it was not used.
    #[serde(flatten)]
    pub reason: ExclusionReason,
}

/// One dispatch, or the rating of its answer.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// Index of the stage in the route, from 0.
    pub stage: usize,
    /// Name of the version or service.
    pub version: VersionName,
    /// Upstream that the request was sent to; for a rating, the host of this router.
    pub upstream: HostName,
    /// Outcome of the dispatch or rating.
    pub result: AttemptResult,
}

/// Outcome of a dispatch or rating.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum AttemptResult {
    /// The upstream answered.
    Answered,
    /// The stage's answer was rated.
    Rated {
        /// Score from 0 to 1; `None` when no rating arrived in time.
        score: Option<f64>,
        /// Whether the answer was accepted for delivery.
        accepted: bool,
    },
    /// The dispatch failed.
    Failed {
        /// Error message.
        reason: String,
    },
}

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum TraceOutcome {
    /// Answered and billed.
    Answered {
        /// Price, in millionths of the currency unit.
        cost: u64,
    },
    /// The caller disconnected before it had the complete answer.
    Cancelled,
    /// The request was refused.
    Refused {
        /// Kind of the refusal.
        kind: String,
        /// Detail of the refusal.
        detail: String,
    },
    /// The upstream failed after the answer had started.
    Broken {
        /// Error message of the upstream failure.
        reason: String,
    },
}

impl DecisionTrace {
    /// Sets the list of versions that were not used, replacing the previous list.
    pub fn set_excluded(&mut self, excluded: &[(VersionName, ExclusionReason)]) {
        self.excluded = excluded
            .iter()
            .map(|(version, reason)| ExcludedVersion {
                version: version.clone(),
                reason: reason.clone(),
            })
            .collect();
    }
}
