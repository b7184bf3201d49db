//! Trail of one request.

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::names::{HostName, RequestId, VersionName, WorkspaceName};
use ferry_decisions::routing::ExclusionReason;
use ferry_decisions::time::UnixMillis;
use serde::Serialize;

/// Decisions on one request, in the order in which they were made.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionTrail {
    /// The request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Class of the request.
    pub class: PriorityClass,
    /// Model, cascade, version or service that the caller named.
    pub target: String,
    /// Router host that decided.
    pub router: HostName,
    /// When the request came.
    pub arrived: UnixMillis,
    /// Offset of the first configuration record that the decisions did not know.
    pub config_offset: u64,
    /// Versions that were not used, with the reason.
    pub excluded: Vec<ExcludedVersion>,
    /// Dispatches in order.
    pub attempts: Vec<AttemptNote>,
    /// Further decisions, in words.
    pub notes: Vec<String>,
    /// How the request ended; `None` while it is in progress.
    pub end: Option<TrailEnd>,
}

/// A version that was not used.
#[derive(Debug, Clone, Serialize)]
pub struct ExcludedVersion {
    /// The version.
    pub version: VersionName,
    /// Why it was not used.
    #[serde(flatten)]
    pub reason: ExclusionReason,
}

/// One dispatch.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptNote {
    /// Position of the stage, from 0.
    pub stage: usize,
    /// Version or service.
    pub version: VersionName,
    /// Upstream that got the request.
    pub upstream: HostName,
    /// What came of it.
    pub result: AttemptResult,
}

/// What came of a dispatch.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum AttemptResult {
    /// The upstream answered.
    Answered,
    /// The stage's answer was rated.
    Rated {
        /// Score from 0 to 1; `None` when no rating came in time.
        score: Option<f64>,
        /// Whether the answer was kept.
        accepted: bool,
    },
    /// The dispatch failed.
    Failed {
        /// Message of the failure.
        reason: String,
    },
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum TrailEnd {
    /// Answered and billed.
    Answered {
        /// Price, in millionths of the currency unit.
        cost: u64,
    },
    /// The caller went away after the answer started.
    Cancelled,
    /// Refused.
    Refused {
        /// Kind of the refusal.
        kind: String,
        /// Detail of the refusal.
        detail: String,
    },
    /// The answer broke off after its start.
    Broken {
        /// What broke.
        reason: String,
    },
}

impl DecisionTrail {
    /// Notes the versions that were not used, replacing an earlier list.
    pub fn exclude(&mut self, excluded: &[(VersionName, ExclusionReason)]) {
        self.excluded = excluded
            .iter()
            .map(|(version, reason)| ExcludedVersion {
                version: version.clone(),
                reason: reason.clone(),
            })
            .collect();
    }
}
