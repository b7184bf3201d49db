//! Asks for claims and gives them up.

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
use super::run_table::{RunTable, RunTicket, open_run};
use crate::bills;
use crate::core::RouterCore;
use crate::joins::RequestFingerprint;
use crate::peer::PeerTopic;

/// When to try again while the log is out.
const LOG_RETRY: Duration = Duration::from_secs(5);
/// Calls to the log that an entry may take at its owner: append, read back, one repeat.
const CALLS_AT_OWNER: u32 = 2;
/// Claims made for one request when those before were voided meanwhile.
const CLAIM_TRIES: usize = 3;

/// State of this router's part in the claims.
#[derive(Debug)]
pub struct ClaimDesk {
    /// Streams in the order of shards.
    shards: Vec<ClaimShard>,
    /// Claimed requests that run here.
    runs: RunTable,
}

/// Leave to run a request once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimGrant {
    /// Request that may be run.
    pub key: RequestKey,
    /// Claim that won.
    pub claim: Uuid,
}

/// How a claimed request goes on.
pub enum ClaimStart {
    /// It may be run here; others may join through the ticket.
    Granted(ClaimGrant, RunTicket),
    /// It ran elsewhere, and this is its answer.
    Joined(JoinedAnswer),
}

/// What keeps a claim from being granted.
enum ClaimBarrier {
    /// Another claim holds the request.
    Held(ClaimHolder),
    /// Anything else.
    Problem(ClaimProblem),
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
    /// The identifier is one whose earlier sends nobody remembers any more.
    #[error("{0}")]
    ForgottenId(String),
    /// Another send of the request was dispatched; its outcome is not known here.
    #[error(
        "an earlier send of this request may have run; look up its outcome before sending it under a new id"
    )]
    MayHaveRun,
    /// A request with other content runs under the identifier.
    #[error(
        "idempotency-key: another request runs under this id; send this one under an id of its own"
    )]
    OtherRequest,
    /// Another send of the request was answered and billed.
    #[error("an earlier send of this request was answered; do not send it again")]
    Ran,
}

impl Default for ClaimDesk {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(ClaimShard::new).collect(),
            runs: RunTable::default(),
        }
    }
}

impl ClaimDesk {
    pub(super) fn shards(&self) -> &[ClaimShard] {
        &self.shards
    }

    pub(super) fn runs(&self) -> &RunTable {
        &self.runs
    }

    /// Number of given-up claims whose void is not yet on the log.
    pub fn open_voids(&self) -> usize {
        self.shards.iter().map(ClaimShard::open_voids).sum()
    }

    /// Number of claims and voids here that are in no batch yet.
    pub fn waiting(&self) -> usize {
        self.shards.iter().map(ClaimShard::waiting).sum()
    }

    fn shard(&self, key: &RequestKey) -> &ClaimShard {
        &self.shards[usize::from(shard_of(&key.request))]
    }
}

/// Claims `key` for this router.
///
/// # Errors
///
/// Nothing may be dispatched on any error.
pub async fn claim(core: &Arc<RouterCore>, key: &RequestKey) -> Result<ClaimGrant, ClaimProblem> {
    match checked_claim(core, key).await {
        Ok(grant) => Ok(grant),
        Err(ClaimBarrier::Held(holder)) => Err(held(core, key, &holder).await),
        Err(ClaimBarrier::Problem(problem)) => Err(problem),
    }
}

/// Claims `key` for this router, or joins the run that holds it until `deadline`.
///
/// # Errors
///
/// Nothing may be dispatched on any error.
pub async fn claim_or_join(
    core: &Arc<RouterCore>,
    key: &RequestKey,
    fingerprint: RequestFingerprint,
    deadline: Instant,
) -> Result<ClaimStart, ClaimProblem> {
    let holder = match checked_claim(core, key).await {
        Ok(grant) => {
            let ticket = open_run(core, &grant, fingerprint);
            return Ok(ClaimStart::Granted(grant, ticket));
        }
        Err(ClaimBarrier::Held(holder)) => holder,
        Err(ClaimBarrier::Problem(problem)) => return Err(problem),
    };
    let wait = deadline.saturating_duration_since(Instant::now());
    let query = RunQuery {
        key: key.clone(),
        claim: holder.claim,
        fingerprint,
        wait_ms: wait.as_millis() as u64,
    };
    match join(core, query, &holder.router, deadline).await {
        RunJoin::Answered(answer) => Ok(ClaimStart::Joined(answer)),
        RunJoin::OtherRequest => Err(ClaimProblem::OtherRequest),
        RunJoin::Unknown => Err(held(core, key, &holder).await),
    }
}

async fn checked_claim(
    core: &Arc<RouterCore>,
    key: &RequestKey,
) -> Result<ClaimGrant, ClaimBarrier> {
    check_id_time(&key.request, wall_clock::now())
        .map_err(|error| ClaimBarrier::Problem(bad_time(&error)))?;
    let asked = Instant::now();
    let result = claim_once_free(core, key).await;
    metrics::histogram!("ferry_claim_seconds").record(asked.elapsed().as_secs_f64());
    result
}

/// Waits for the answer of the run at `router`, if it lives.
async fn join(
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

/// Gives up `grant` after the request was certainly not run.
///
/// # Errors
///
/// On an error "not run" must not be said; the void is appended once the log answers.
pub async fn void(core: &Arc<RouterCore>, grant: &ClaimGrant) -> Result<(), ClaimProblem> {
    let entry = void_entry(&grant.key, grant.claim);
    if let Some(ClaimReply::Voided) = submit(core, entry.clone()).await {
        return Ok(());
    }
    void_later(core, entry);
    Err(log_out())
}

async fn claim_once_free(
    core: &Arc<RouterCore>,
    key: &RequestKey,
) -> Result<ClaimGrant, ClaimBarrier> {
    for _ in 0..CLAIM_TRIES {
        if core.appends.is_out() {
            return Err(ClaimBarrier::Problem(log_out()));
        }
        let claim = Uuid::new_v4();
        let entry = claim_entry(core, key, claim);
        let Some(reply) = submit(core, entry).await else {
            give_up(core, key, claim);
            return Err(ClaimBarrier::Problem(log_out()));
        };
        match reply {
            ClaimReply::Granted => {
                return Ok(ClaimGrant {
                    key: key.clone(),
                    claim,
                });
            }
            ClaimReply::Voided => {}
            ClaimReply::Held { holder } => return Err(ClaimBarrier::Held(holder)),
            ClaimReply::Overloaded => return Err(ClaimBarrier::Problem(log_out())),
            ClaimReply::OutsideWindow => return Err(ClaimBarrier::Problem(outside_window())),
            ClaimReply::UnknownHistory => return Err(ClaimBarrier::Problem(unknown_history())),
        }
    }
    Err(ClaimBarrier::Problem(log_out()))
}

/// Has the owner of the shard take `entry`, or this router if the owner does not answer.
async fn submit(core: &Arc<RouterCore>, entry: ClaimEntry) -> Option<ClaimReply> {
    let live = core.members.live();
    let owner = owner_of(shard_of(&entry.request().request), &live)?;
    if *owner != core.settings.host {
        let query = ClaimQuery::Submit(entry.clone());
        let limit = patience(core);
        let answer = core
            .hub()
            .send_query::<_, ClaimAnswer>(owner, PeerTopic::Claims, &query, limit)
            .await;
        match answer {
            Ok(ClaimAnswer::Submitted(Some(reply))) => return Some(reply),
            Ok(ClaimAnswer::Submitted(None)) if core.appends.is_out() => return None,
            Ok(_) | Err(_) => {}
        }
    }
    submit_here(core, entry).await
}

/// Appends `entry` from this router and waits until it was read back.
pub(super) async fn submit_here(core: &RouterCore, entry: ClaimEntry) -> Option<ClaimReply> {
    let shard = core.claims.shard(entry.request());
    let (claim, kind) = (entry.claim(), entry.kind());
    let receiver = shard.submit(entry)?;
    match timeout(patience(core), receiver).await {
        Ok(reply) => reply.ok(),
        Err(_) => {
            if kind == EntryKind::Claim {
                shard.withdraw(claim);
            }
            None
        }
    }
}

/// Time that one owner is given.
fn patience(core: &RouterCore) -> Duration {
    core.settings.call_timeout() * CALLS_AT_OWNER
}

/// Makes sure that a claim whose fate is unknown holds its id no longer than needed.
fn give_up(core: &Arc<RouterCore>, key: &RequestKey, claim: Uuid) {
    void_later(core, void_entry(key, claim));
}

/// Appends a void as soon as the log answers; a stop waits for it.
fn void_later(core: &Arc<RouterCore>, entry: ClaimEntry) {
    if core.claims.shard(entry.request()).submit(entry).is_none() {
        spdlog::warn!("a claim was not voided since too many wait; its id stays claimed");
    }
}

async fn held(core: &Arc<RouterCore>, key: &RequestKey, holder: &ClaimHolder) -> ClaimProblem {
    spdlog::info!("request was claimed before", kv: {
        request_id = key.request.as_str(),
        router = holder.router.as_str(),
        offset = holder.offset,
    });
    if bills::is_billed(core, key).await {
        ClaimProblem::Ran
    } else {
        ClaimProblem::MayHaveRun
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

fn log_out() -> ClaimProblem {
    ClaimProblem::LogOut {
        retry_after: LOG_RETRY,
    }
}

fn bad_time(error: &IdTimeError) -> ClaimProblem {
    let text = error.to_string();
    match error {
        IdTimeError::TooOld { .. } => ClaimProblem::ForgottenId(text),
        IdTimeError::NotTimed { .. } | IdTimeError::TooNew { .. } => ClaimProblem::BadId(text),
    }
}

fn outside_window() -> ClaimProblem {
    let text = "the log's time is outside the window of the request id; find out whether an \
                earlier send ran, then send a new UUIDv7";
    ClaimProblem::ForgottenId(text.to_owned())
}

fn unknown_history() -> ClaimProblem {
    let text = "the log no longer holds all records that may name this request id; find out \
                whether an earlier send ran, then send a new UUIDv7";
    ClaimProblem::ForgottenId(text.to_owned())
}
