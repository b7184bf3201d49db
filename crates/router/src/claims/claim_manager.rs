//! Makes claims for this router and voids them.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::claim::{
    ClaimEntry, ClaimHolder, ClaimReply, EntryKind, IdTimeError, RequestKey, SHARD_COUNT,
    check_id_time, owner_of, shard_of,
};
use ferry_decisions::names::HostName;
use ferry_kernel::wall_clock;
use tokio::time::{Instant, timeout};
use uuid::Uuid;

use super::JoinedAnswer;
use super::claim_message::{ClaimAnswer, ClaimQuery, RunJoin, RunQuery};
use super::claim_shard::ClaimShard;
use super::run_table::{RunHandle, RunTable, register_run};
use crate::bills;
use crate::core::RouterCore;
use crate::joins::RequestFingerprint;
use crate::peer::PeerTopic;

/// Retry delay given to callers while the log is unavailable.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time to wait for one entry, in timeouts of a log call. It covers the append, the read-back and one
/// repeated call.
const ENTRY_TIMEOUT_CALLS: u32 = 2;
/// Maximum number of claims made for one request when the earlier ones turn out to be void.
const MAX_CLAIM_ATTEMPTS: usize = 3;

/// Claim streams and claimed requests in progress of this router.
#[derive(Debug)]
pub struct ClaimManager {
    /// Claim streams, indexed by shard.
    shards: Vec<ClaimShard>,
    /// Claimed requests in progress at this router.
    runs: RunTable,
}

/// Permission to run a request once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimGrant {
    /// Request that may be run.
    pub key: RequestKey,
    /// Claim that was granted.
    pub claim: Uuid,
}

/// Result of a claim that may join a run in progress.
pub enum ClaimStart {
    /// The request may be run here; duplicates join the run through the handle.
    Granted(ClaimGrant, RunHandle),
    /// The request was run under another claim and returned this answer.
    Joined(JoinedAnswer),
}

/// Why a claim was not granted.
enum ClaimFailure {
    /// Another claim holds the request.
    Held(ClaimHolder),
    /// Any other reason.
    Other(ClaimError),
}

/// Error of a claim or void; a request whose claim failed must not be run here.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The log does not answer, so it is unknown whether the request runs elsewhere.
    #[error("the log does not answer; send the request again later")]
    LogUnavailable {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The request id is not a UUIDv7, or its time is too far in the future.
    #[error("{0}")]
    InvalidId(String),
    /// The request id is so old that earlier sends under it can no longer be found.
    #[error("{0}")]
    ExpiredId(String),
    /// Another send of the request holds the id and may have been dispatched; its outcome is not
    /// known here.
    #[error(
        "an earlier send of this request may have run; look up its outcome before sending it under a new id"
    )]
    MayHaveRun,
    /// A request with different content runs under the same id.
    #[error(
        "idempotency-key: another request runs under this id; send this one under an id of its own"
    )]
    OtherRequest,
    /// An earlier send of the request was answered and billed.
    #[error("an earlier send of this request was answered; do not send it again")]
    Ran,
}

impl Default for ClaimManager {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(ClaimShard::new).collect(),
            runs: RunTable::default(),
        }
    }
}

impl ClaimManager {
    pub(super) fn shards(&self) -> &[ClaimShard] {
        &self.shards
    }

    pub(super) fn runs(&self) -> &RunTable {
        &self.runs
    }

    /// Number of voids that are not yet on the log.
    pub fn pending_voids(&self) -> usize {
        self.shards.iter().map(ClaimShard::pending_voids).sum()
    }

    /// Number of claims and voids at this router that are not yet in a batch.
    pub fn unbatched_entries(&self) -> usize {
        self.shards.iter().map(ClaimShard::unbatched_entries).sum()
    }

    fn shard(&self, key: &RequestKey) -> &ClaimShard {
        &self.shards[usize::from(shard_of(&key.request))]
    }
}

/// Claims `key` for this router.
///
/// # Errors
///
/// On any error the request must not be dispatched.
pub async fn claim(core: &Arc<RouterCore>, key: &RequestKey) -> Result<ClaimGrant, ClaimError> {
    match claim_valid_id(core, key).await {
        Ok(grant) => Ok(grant),
        Err(ClaimFailure::Held(holder)) => Err(held_error(core, key, &holder).await),
        Err(ClaimFailure::Other(claim_error)) => Err(claim_error),
    }
}

/// Claims `key` for this router; if another claim holds it, waits for that run's answer until
/// `deadline`.
///
/// # Errors
///
/// On any error the request must not be dispatched.
pub async fn claim_or_join(
    core: &Arc<RouterCore>,
    key: &RequestKey,
    fingerprint: RequestFingerprint,
    deadline: Instant,
) -> Result<ClaimStart, ClaimError> {
    let holder = match claim_valid_id(core, key).await {
        Ok(grant) => {
            let handle = register_run(core, &grant, fingerprint);
            return Ok(ClaimStart::Granted(grant, handle));
        }
        Err(ClaimFailure::Held(holder)) => holder,
        Err(ClaimFailure::Other(claim_error)) => return Err(claim_error),
    };
    let wait = deadline.saturating_duration_since(Instant::now());
    let query = RunQuery {
        key: key.clone(),
        claim: holder.claim,
        fingerprint,
        wait_ms: wait.as_millis() as u64,
    };
    match join_run(core, query, &holder.router, deadline).await {
        RunJoin::Answered(answer) => Ok(ClaimStart::Joined(answer)),
        RunJoin::OtherRequest => Err(ClaimError::OtherRequest),
        RunJoin::Unknown => Err(held_error(core, key, &holder).await),
    }
}

async fn claim_valid_id(
    core: &Arc<RouterCore>,
    key: &RequestKey,
) -> Result<ClaimGrant, ClaimFailure> {
    check_id_time(&key.request, wall_clock::now())
        .map_err(|error| ClaimFailure::Other(id_time_error(&error)))?;
    let requested_at = Instant::now();
    let result = claim_with_retries(core, key).await;
    metrics::histogram!("ferry_claim_seconds").record(requested_at.elapsed().as_secs_f64());
    result
}

/// Waits until `deadline` for the answer of the run at `router`, which may be this router.
async fn join_run(
    core: &Arc<RouterCore>,
    query: RunQuery,
    router: &HostName,
    deadline: Instant,
) -> RunJoin {
    if *router == core.settings.host {
        return core.claims.runs.join(&query, deadline).await;
    }
    let wait = deadline.saturating_duration_since(Instant::now());
    let query = ClaimQuery::Join(query);
    let answer = core
        .hub()
        .send_query(router, PeerTopic::Claims, &query, wait)
        .await;
    match answer {
        Ok(ClaimAnswer::Joined(joined)) => joined,
        Ok(ClaimAnswer::Submitted(_)) | Err(_) => RunJoin::Unknown,
    }
}

/// Voids the claim of `grant` after a request that certainly was not run.
///
/// # Errors
///
/// On an error the caller must not be told that the request was not run; the void stays queued and
/// is appended once the log answers.
pub async fn void(core: &Arc<RouterCore>, grant: &ClaimGrant) -> Result<(), ClaimError> {
    let entry = void_entry(&grant.key, grant.claim);
    if let Some(ClaimReply::Voided) = submit(core, entry.clone()).await {
        return Ok(());
    }
    queue_void(core, entry);
    Err(log_unavailable())
}

async fn claim_with_retries(
    core: &Arc<RouterCore>,
    key: &RequestKey,
) -> Result<ClaimGrant, ClaimFailure> {
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        if core.appends.is_log_unavailable() {
            return Err(ClaimFailure::Other(log_unavailable()));
        }
        let claim = Uuid::new_v4();
        let entry = claim_entry(core, key, claim);
        let Some(reply) = submit(core, entry).await else {
            void_unconfirmed(core, key, claim);
            return Err(ClaimFailure::Other(log_unavailable()));
        };
        match reply {
            ClaimReply::Granted => {
                return Ok(ClaimGrant {
                    key: key.clone(),
                    claim,
                });
            }
            ClaimReply::Voided => {}
            ClaimReply::Held { holder } => return Err(ClaimFailure::Held(holder)),
            ClaimReply::Overloaded => return Err(ClaimFailure::Other(log_unavailable())),
            ClaimReply::OutsideWindow => return Err(ClaimFailure::Other(outside_window())),
            ClaimReply::UnknownHistory => return Err(ClaimFailure::Other(unknown_history())),
        }
    }
    Err(ClaimFailure::Other(log_unavailable()))
}

/// Submits `entry` to the owner of its shard, or appends it from this router if the owner does not
/// answer. `None` when the log did not confirm the entry.
async fn submit(core: &Arc<RouterCore>, entry: ClaimEntry) -> Option<ClaimReply> {
    let live = core.members.live();
    let owner = owner_of(shard_of(&entry.request().request), &live)?;
    if *owner != core.settings.host {
        let query = ClaimQuery::Submit(entry.clone());
        let limit = entry_timeout(core);
        let answer = core
            .hub()
            .send_query::<_, ClaimAnswer>(owner, PeerTopic::Claims, &query, limit)
            .await;
        match answer {
            Ok(ClaimAnswer::Submitted(Some(reply))) => return Some(reply),
            Ok(ClaimAnswer::Submitted(None)) if core.appends.is_log_unavailable() => return None,
            Ok(_) | Err(_) => {}
        }
    }
    submit_locally(core, entry).await
}

/// Appends `entry` from this router and waits until it is read back.
///
/// `None` when the shard's queue is full or the wait times out. After a time-out, a claim that is
/// not yet in a batch is withdrawn; a void stays queued.
pub(super) async fn submit_locally(core: &RouterCore, entry: ClaimEntry) -> Option<ClaimReply> {
    let shard = core.claims.shard(entry.request());
    let (claim, kind) = (entry.claim(), entry.kind());
    let receiver = shard.submit(entry)?;
    match timeout(entry_timeout(core), receiver).await {
        Ok(reply) => reply.ok(),
        Err(_) => {
            if kind == EntryKind::Claim {
                shard.withdraw(claim);
            }
            None
        }
    }
}

/// Time to wait for an entry to be appended and read back, at its owner or at this router.
fn entry_timeout(core: &RouterCore) -> Duration {
    core.settings.call_timeout() * ENTRY_TIMEOUT_CALLS
}

/// Voids a claim whose outcome is unknown, so that it does not block its id longer than needed.
fn void_unconfirmed(core: &Arc<RouterCore>, key: &RequestKey, claim: Uuid) {
    queue_void(core, void_entry(key, claim));
}

/// Queues a void, which is appended as soon as the log answers; a stopping router waits for it.
fn queue_void(core: &Arc<RouterCore>, entry: ClaimEntry) {
    if core.claims.shard(entry.request()).submit(entry).is_none() {
        spdlog::warn!(
            "claim not voided because the queue of its shard is full; its request id stays claimed"
        );
    }
}

async fn held_error(core: &Arc<RouterCore>, key: &RequestKey, holder: &ClaimHolder) -> ClaimError {
    spdlog::info!("request is already claimed", kv: {
        request_id = key.request.as_str(),
        router = holder.router.as_str(),
        offset = holder.offset,
    });
    if bills::is_billed(core, key).await {
        ClaimError::Ran
    } else {
        ClaimError::MayHaveRun
    }
}

fn claim_entry(core: &RouterCore, key: &RequestKey, claim: Uuid) -> ClaimEntry {
    ClaimEntry::Claim {
        request: key.clone(),
        claim,
        router: core.settings.host.clone(),
        incarnation: core.incarnation,
        time: wall_clock::now(),
    }
}

fn void_entry(key: &RequestKey, claim: Uuid) -> ClaimEntry {
    ClaimEntry::Void {
        request: key.clone(),
        claim,
        time: wall_clock::now(),
    }
}

fn log_unavailable() -> ClaimError {
    ClaimError::LogUnavailable {
        retry_after: LOG_RETRY_AFTER,
    }
}

fn id_time_error(error: &IdTimeError) -> ClaimError {
    let text = error.to_string();
    match error {
        IdTimeError::TooOld { .. } => ClaimError::ExpiredId(text),
        IdTimeError::NotTimed { .. } | IdTimeError::TooNew { .. } => ClaimError::InvalidId(text),
    }
}

fn outside_window() -> ClaimError {
    let text = "the log's time is outside the window of the request id; find out whether an \
                earlier send ran, then send a new UUIDv7";
    ClaimError::ExpiredId(text.to_owned())
}

fn unknown_history() -> ClaimError {
    let text = "the log no longer holds all records that may name this request id; find out \
                whether an earlier send ran, then send a new UUIDv7";
    ClaimError::ExpiredId(text.to_owned())
}
