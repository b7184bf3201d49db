//! Runs in progress at this router, by request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use ferry_decisions::claim::RequestKey;
use ferry_decisions::retry::RunState;
use ferry_kernel::shards::ShardMap;

use super::shared_run::{JoinRefusal, SharedRun};
use super::{RequestFingerprint, RunListener, RunPublisher};
use crate::caller::{CallerRefusal, RefusalKind};

/// Runs that duplicates may join, one entry for each request in progress.
#[derive(Debug, Default)]
pub struct JoinTable {
    runs: ShardMap<RequestKey, Arc<SharedRun>>,
    /// Bytes of events buffered by all runs.
    total_buffered_bytes: Arc<AtomicUsize>,
    /// Number of duplicates that have joined a run.
    joined: AtomicU64,
}

/// Whether a request starts a run or joins one.
pub enum JoinStart {
    /// The request is not in progress here: run it and pass its answer to the publisher.
    First(RunPublisher, RunListener),
    /// The request is already in progress; the listener receives its answer.
    Joined(RunListener),
}

impl JoinTable {
    /// Joins the run of `key` if one is in progress, else registers a new run.
    ///
    /// # Errors
    ///
    /// Refuses a request whose content differs from the one in progress, or that arrives when the
    /// start of the answer is no longer buffered.
    pub fn join_or_start(
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
            let (run, listener) =
                SharedRun::open(fingerprint, Arc::clone(&self.total_buffered_bytes));
            runs.insert(key.clone(), Arc::clone(&run));
            let publisher = RunPublisher::new(Arc::clone(self), key.clone(), run);
            Ok(JoinStart::First(publisher, listener))
        })
    }

    /// Number of duplicates that have joined a run since the process started.
    pub fn joined(&self) -> u64 {
        self.joined.load(Ordering::Relaxed)
    }

    /// Removes `run`, which has ended or has no listener, so that it cannot be joined any more. Leaves
    /// a newer run of the same request in place.
    pub(super) fn remove(&self, key: &RequestKey, run: &Arc<SharedRun>) {
        self.runs.with(key, |runs| {
            if runs.get(key).is_some_and(|known| Arc::ptr_eq(known, run)) {
                runs.remove(key);
            }
        });
    }
}

/// Refusal of a request whose id belongs to a request with different content.
pub fn other_request() -> CallerRefusal {
    CallerRefusal::permanent(
        RefusalKind::BadRequest,
        "idempotency-key: another request is in progress under this id; send this one under an id of its own",
    )
}

fn too_late() -> CallerRefusal {
    CallerRefusal::permanent(
        RefusalKind::Duplicate,
        "an earlier send of this request is being answered and its start is no longer kept; read that answer, or send again after its end",
    )
    .with_run(RunState::MayHaveRun)
}
