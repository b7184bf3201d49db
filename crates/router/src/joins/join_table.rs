//! Runs in progress at this router, by request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use ferry_decisions::claim::RequestKey;
use ferry_decisions::retry::RunState;
use ferry_kernel::shards::ShardMap;

use super::shared_run::{JoinRefusal, SharedRun};
use super::{RequestFingerprint, RunFeed, RunListener};
use crate::caller::{CallerRefusal, RefusalKind};

/// Runs that further sends may join; one entry for each request in progress.
#[derive(Debug, Default)]
pub struct JoinTable {
    runs: ShardMap<RequestKey, Arc<SharedRun>>,
    /// Bytes of answers that all runs hold.
    total: Arc<AtomicUsize>,
    /// Sends that joined a run so far.
    joined: AtomicU64,
}

/// How a send goes on.
pub enum JoinStart {
    /// Nobody runs the request here: run it and feed its answer.
    First(RunFeed, RunListener),
    /// It runs already.
    Joined(RunListener),
}

impl JoinTable {
    /// Enters a send of `key`.
    ///
    /// # Errors
    ///
    /// Refuses a send that differs from the one in progress, or that comes too late to get its start.
    pub fn enter(
        self: &Arc<Self>,
        key: &RequestKey,
        fingerprint: RequestFingerprint,
    ) -> Result<JoinStart, CallerRefusal> {
        self.runs.with(key, |runs| {
            if let Some(run) = runs.get(key) {
                match SharedRun::listen(run, fingerprint) {
                    Ok(listener) => {
                        self.joined.fetch_add(1, Ordering::Relaxed);
                        metrics::counter!("ferry_joined_sends_total").increment(1);
                        return Ok(JoinStart::Joined(listener));
                    }
                    Err(JoinRefusal::Abandoned) => {}
                    Err(JoinRefusal::OtherRequest) => return Err(other_request()),
                    Err(JoinRefusal::TooLate) => return Err(too_late()),
                }
            }
            let (run, listener) = SharedRun::open(fingerprint, Arc::clone(&self.total));
            runs.insert(key.clone(), Arc::clone(&run));
            let feed = RunFeed::new(Arc::clone(self), key.clone(), run);
            Ok(JoinStart::First(feed, listener))
        })
    }

    /// Sends that joined a run since the start.
    pub fn joined(&self) -> u64 {
        self.joined.load(Ordering::Relaxed)
    }

    /// Forgets `run`, which has ended or which nobody listens to.
    pub(super) fn leave(&self, key: &RequestKey, run: &Arc<SharedRun>) {
        self.runs.with(key, |runs| {
            if runs.get(key).is_some_and(|known| Arc::ptr_eq(known, run)) {
                runs.remove(key);
            }
        });
    }
}

/// Refusal of a send whose id belongs to a request with other content.
pub fn other_request() -> CallerRefusal {
    CallerRefusal::final_one(
        RefusalKind::BadRequest,
        "idempotency-key: another request is in progress under this id; send this one under an id of its own",
    )
}

fn too_late() -> CallerRefusal {
    CallerRefusal::final_one(
        RefusalKind::Duplicate,
        "an earlier send of this request is being answered and its start is no longer kept; read that answer, or send again after its end",
    )
    .with_run(RunState::MayHaveRun)
}
