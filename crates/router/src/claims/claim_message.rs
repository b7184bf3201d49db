//! Messages about claims between routers.

use ferry_decisions::claim::{ClaimEntry, ClaimReply, RequestKey};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::JoinedAnswer;
use crate::joins::RequestFingerprint;

/// Request from one router to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum ClaimQuery {
    /// Append the entry as the owner of its shard. A claim names the router that makes it.
    Submit(ClaimEntry),
    /// Return the answer of a run whose claim the receiving router holds.
    Join(RunQuery),
}

/// The run that a duplicate request asks to join.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct RunQuery {
    /// Key of the request.
    pub key: RequestKey,
    /// Claim under which the request runs.
    pub claim: Uuid,
    /// Fingerprint of the duplicate's content.
    pub fingerprint: RequestFingerprint,
    /// Time until the duplicate's deadline, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a [`ClaimQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum ClaimAnswer {
    /// Outcome of the entry; `None` when the log did not confirm it in time.
    Submitted(Option<ClaimReply>),
    /// Outcome of the join.
    Joined(RunJoin),
}

/// Outcome of joining a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum RunJoin {
    /// The run ended with this answer.
    Answered(JoinedAnswer),
    /// The run belongs to a request with different content.
    OtherRequest,
    /// There is no such run, it ended without an answer, or it did not answer in time.
    Unknown,
}
