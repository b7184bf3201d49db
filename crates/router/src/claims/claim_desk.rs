//! Asks for claims and gives them up.

use std::time::Duration;

use ferry_decisions::claim::{ClaimBatch, ClaimEntry, shard_of};
use ferry_decisions::names::RequestId;
use ferry_kernel::wall_clock;
use uuid::Uuid;

use crate::core::RouterCore;

/// When to try again while the log is out.
const LOG_RETRY: Duration = Duration::from_secs(5);

/// State of this router's part in the claims.
#[derive(Debug, Default)]
pub struct ClaimDesk {}

/// Leave to run a request once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimGrant {
    /// Request that may be run.
    pub request: RequestId,
    /// Claim that won.
    pub claim: Uuid,
}

/// Why a request may not be run here.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClaimProblem {
    /// The log does not answer, so that nobody can tell whether the request runs elsewhere.
    #[error("the log does not answer; send the request again later")]
    LogOut {
        /// When to come back.
        retry_after: Duration,
    },
    /// The identifier cannot be claimed.
    #[error("{0}")]
    BadId(String),
    /// Another send of the request was dispatched; its outcome is not known here.
    #[error(
        "an earlier send of this request may have run; look up its outcome before sending it under a new id"
    )]
    MayHaveRun,
    /// Another send of the request was answered and billed.
    #[error("an earlier send of this request was answered; do not send it again")]
    Ran,
}

/// Claims `request` for this router.
///
/// # Errors
///
/// Nothing may be dispatched on any error.
pub async fn claim(core: &RouterCore, request: &RequestId) -> Result<ClaimGrant, ClaimProblem> {
    let claim = Uuid::new_v4();
    let entry = ClaimEntry::Claim {
        request: request.clone(),
        claim,
        router: core.settings.host.clone(),
        incarnation: core.incarnation,
        time: wall_clock::now(),
    };
    append(core, request, entry).await?;
    Ok(ClaimGrant {
        request: request.clone(),
        claim,
    })
}

/// Gives up `grant` after the request was certainly not run.
///
/// # Errors
///
/// On an error "not run" must not be said.
pub async fn void(core: &RouterCore, grant: &ClaimGrant) -> Result<(), ClaimProblem> {
    let entry = ClaimEntry::Void {
        request: grant.request.clone(),
        claim: grant.claim,
        time: wall_clock::now(),
    };
    append(core, &grant.request, entry).await
}

async fn append(
    core: &RouterCore,
    request: &RequestId,
    entry: ClaimEntry,
) -> Result<(), ClaimProblem> {
    let batch = ClaimBatch {
        owner: core.settings.host.clone(),
        incarnation: core.incarnation,
        batch: Uuid::new_v4(),
        entries: vec![entry],
    };
    let data = serde_json::to_vec(&batch).expect("a batch has only plain fields");
    let stream = format!("claims-{}", shard_of(request));
    match core.log.append(&stream, data).await {
        Ok(_) => Ok(()),
        Err(_) => Err(ClaimProblem::LogOut {
            retry_after: LOG_RETRY,
        }),
    }
}
