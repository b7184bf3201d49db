//! Table of runs by request id, used to resume and cancel them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::RequestId;

use super::chat_run::{ChatRun, RunPhase};

/// Time during which a run can be resumed after it left the batch or the queue.
const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of runs in the table; further runs can be neither resumed nor cancelled by id.
const TABLE_LIMIT: usize = 65_536;

/// The newest run of each request id.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    runs: HashMap<RequestId, Arc<ChatRun>>,
}

impl RunTable {
    /// Adds a run, replacing an older one with the same id; does nothing when the table is full.
    pub(super) fn insert(&mut self, run: Arc<ChatRun>) {
        if self.runs.len() < TABLE_LIMIT || self.runs.contains_key(&run.id) {
            self.runs.insert(run.id.clone(), run);
        }
    }

    /// The run with this id.
    pub(super) fn get(&self, id: &str) -> Option<Arc<ChatRun>> {
        self.runs.get(id).cloned()
    }

    /// Removes the runs whose resume window has passed, and cancels those that are suspended.
    pub(super) fn sweep(&mut self) {
        let is_expired = |run: &ChatRun| {
            run.stopped_at()
                .is_some_and(|time| time.elapsed() > RESUME_WINDOW)
        };
        self.runs.retain(|_, run| {
            let keep = !is_expired(run);
            if !keep && run.phase() == RunPhase::Suspended {
                run.set_phase(RunPhase::Cancelled);
            }
            keep
        });
    }

    /// Removes all runs.
    pub(super) fn clear(&mut self) {
        self.runs.clear();
    }
}
