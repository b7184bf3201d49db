//! Messages about claims between routers.

use ferry_decisions::claim::{ClaimEntry, ClaimReply, RequestKey};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::JoinedAnswer;
use crate::joins::RequestFingerprint;

/// What a router wants of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum ClaimQuery {
    /// Append the entry as owner of its shard; the router that makes a claim is named in it.
    Submit(ClaimEntry),
    /// Pass on the answer of the run under a claim of the asked router.
    Join(RunQuery),
}

/// A run that a second send wants to join.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct RunQuery {
    /// Request.
    pub key: RequestKey,
    /// Claim under which it runs.
    pub claim: Uuid,
    /// What the second send asks for.
    pub fingerprint: RequestFingerprint,
    /// Time that the second send has left, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum ClaimAnswer {
    /// What became of the entry; `None` when the log did not confirm it in time.
    Submitted(Option<ClaimReply>),
    /// What came of the join.
    Joined(RunJoin),
}

/// What a second send gets of the run that it wants to join.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum RunJoin {
    /// The run's answer.
    Answered(JoinedAnswer),
    /// The run is of a request with other content.
    OtherRequest,
    /// There is no such run, or it ended without an answer.
    Unknown,
}
