//! Runs of claimed requests in progress at this router, which second sends may join.

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

/// Answer of a run, once it is there.
type RunOutcome = Option<Arc<JoinedAnswer>>;

/// Runs by request.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    runs: Mutex<HashMap<RequestKey, OpenRun>>,
}

#[derive(Debug)]
struct OpenRun {
    claim: Uuid,
    fingerprint: RequestFingerprint,
    outcome: watch::Receiver<RunOutcome>,
}

/// A run that others may join; dropped without an answer, it leaves them without one.
pub struct RunTicket {
    core: Arc<RouterCore>,
    grant: ClaimGrant,
    outcome: watch::Sender<RunOutcome>,
}

/// Lets second sends join the run that `grant` allows.
pub(super) fn open_run(
    core: &Arc<RouterCore>,
    grant: &ClaimGrant,
    fingerprint: RequestFingerprint,
) -> RunTicket {
    let (outcome, receiver) = watch::channel(None);
    let run = OpenRun {
        claim: grant.claim,
        fingerprint,
        outcome: receiver,
    };
    let table = core.claims.runs();
    table.runs.lock().insert(grant.key.clone(), run);
    RunTicket {
        core: Arc::clone(core),
        grant: grant.clone(),
        outcome,
    }
}

impl RunTicket {
    /// Passes the answer, which must be billed, to all that joined.
    pub fn finish(self, answer: JoinedAnswer) {
        self.outcome.send_replace(Some(Arc::new(answer)));
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        let mut runs = self.core.claims.runs().runs.lock();
        let own = |run: &OpenRun| run.claim == self.grant.claim;
        if runs.get(&self.grant.key).is_some_and(own) {
            runs.remove(&self.grant.key);
        }
    }
}

impl RunTable {
    /// Waits until `deadline` for the answer of the run that `query` names.
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
