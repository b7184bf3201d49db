//! Messages about claims between routers.

use ferry_decisions::claim::{ClaimEntry, ClaimReply, RequestKey};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::JoinedAnswer;

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
    /// Time that the second send has left, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum ClaimAnswer {
    /// What became of the entry; `None` when the log did not confirm it in time.
    Submitted(Option<ClaimReply>),
    /// The run's answer; `None` when it is not known here.
    Joined(Option<JoinedAnswer>),
}
