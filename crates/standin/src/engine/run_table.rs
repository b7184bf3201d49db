//! Runs by request id, so that they can be resumed and cancelled.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::RequestId;

use super::chat_run::{ChatRun, RunPhase};

/// Time for which a run can be resumed after it stopped.
const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Runs in the table; those beyond it cannot be resumed.
const TABLE_LIMIT: usize = 65_536;

/// The newest run of each request id.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    runs: HashMap<RequestId, Arc<ChatRun>>,
}

impl RunTable {
    /// Adds a run in the place of an older one with its id.
    pub(super) fn insert(&mut self, run: Arc<ChatRun>) {
        if self.runs.len() < TABLE_LIMIT || self.runs.contains_key(&run.id) {
            self.runs.insert(run.id.clone(), run);
        }
    }

    /// The run with this id.
    pub(super) fn get(&self, id: &str) -> Option<Arc<ChatRun>> {
        self.runs.get(id).cloned()
    }

    /// Drops the runs that stopped too long ago; suspended ones are then given up.
    pub(super) fn sweep(&mut self) {
        let expired = |run: &ChatRun| {
            run.ended()
                .is_some_and(|time| time.elapsed() > RESUME_WINDOW)
        };
        self.runs.retain(|_, run| {
            let keep = !expired(run);
            if !keep && run.phase() == RunPhase::Suspended {
                run.enter(RunPhase::Cancelled);
            }
            keep
        });
    }

    /// Forgets all runs.
    pub(super) fn clear(&mut self) {
        self.runs.clear();
    }
}
