//! Claimed requests in progress at this router, whose runs duplicates may join.

use std::collections::HashMap;
use std::sync::Arc;

use ferry_decisions::claim::RequestKey;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use uuid::Uuid;

use super::claim_message::{RunJoin, RunQuery};
use super::{ClaimGrant, JoinedAnswer};
use crate::core::RouterCore;
use crate::joins::RequestFingerprint;

/// Answer of a run; `None` until the run has finished.
type RunOutcome = Option<Arc<JoinedAnswer>>;

/// Runs in progress by request.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    runs: Mutex<HashMap<RequestKey, ClaimedRun>>,
}

#[derive(Debug)]
struct ClaimedRun {
    claim: Uuid,
    fingerprint: RequestFingerprint,
    outcome: watch::Receiver<RunOutcome>,
}

/// Handle of a run that duplicates may join. If it is dropped before [`Self::finish`], they receive no
/// answer.
pub struct RunHandle {
    core: Arc<RouterCore>,
    grant: ClaimGrant,
    outcome: watch::Sender<RunOutcome>,
}

/// Registers the run of `grant`, so that duplicates can join it.
pub(super) fn register_run(
    core: &Arc<RouterCore>,
    grant: &ClaimGrant,
    fingerprint: RequestFingerprint,
) -> RunHandle {
    let (outcome, receiver) = watch::channel(None);
    let run = ClaimedRun {
        claim: grant.claim,
        fingerprint,
        outcome: receiver,
    };
    let table = core.claims.runs();
    table.runs.lock().insert(grant.key.clone(), run);
    RunHandle {
        core: Arc::clone(core),
        grant: grant.clone(),
        outcome,
    }
}

impl RunHandle {
    /// Passes the answer to all duplicates that joined. Call this only after the answer was billed.
    pub fn finish(self, answer: JoinedAnswer) {
        self.outcome.send_replace(Some(Arc::new(answer)));
    }
}

impl Drop for RunHandle {
    fn drop(&mut self) {
        let mut runs = self.core.claims.runs().runs.lock();
        let is_same_claim = |run: &ClaimedRun| run.claim == self.grant.claim;
        if runs.get(&self.grant.key).is_some_and(is_same_claim) {
            runs.remove(&self.grant.key);
        }
    }
}

impl RunTable {
    /// Waits until `deadline` for the answer of the run named in `query`.
    pub(super) async fn join(&self, query: &RunQuery, deadline: Instant) -> RunJoin {
        let mut outcome = {
            let runs = self.runs.lock();
            match runs.get(&query.key).filter(|run| run.claim == query.claim) {
                None => return RunJoin::Unknown,
                Some(run) if run.fingerprint != query.fingerprint => return RunJoin::OtherRequest,
                Some(run) => run.outcome.clone(),
            }
        };
        let answered = outcome.wait_for(Option::is_some);
        match timeout_at(deadline, answered).await {
            Ok(Ok(answer)) => {
                let answer = answer.as_deref().cloned();
                answer.map_or(RunJoin::Unknown, RunJoin::Answered)
            }
            Ok(Err(_)) | Err(_) => RunJoin::Unknown,
        }
    }
}
