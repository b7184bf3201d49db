//! A request that was dispatched to a version in a roll-out.

use std::sync::Arc;

use ferry_decisions::guard::AnswerOutcome;
use ferry_decisions::names::{VersionName, WorkspaceName};

use super::GuardManager;

/// Records exactly one outcome, on drop, so that a cancelled request is counted too.
#[derive(Debug)]
pub struct ServedRequest {
    manager: Arc<GuardManager>,
    version: VersionName,
    epoch: u64,
    workspace: WorkspaceName,
    outcome: AnswerOutcome,
}

impl ServedRequest {
    pub(super) fn new(
        manager: Arc<GuardManager>,
        version: VersionName,
        epoch: u64,
        workspace: WorkspaceName,
    ) -> Self {
        Self {
            manager,
            version,
            epoch,
            workspace,
            outcome: AnswerOutcome::Unanswered,
        }
    }

    /// Version that serves the request.
    pub fn version(&self) -> &VersionName {
        &self.version
    }

    /// Sets the outcome that is recorded on drop.
    pub(super) fn set_outcome(&mut self, outcome: AnswerOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        let Self {
            version, workspace, ..
        } = self;
        self.manager
            .record_outcome(version, self.epoch, workspace, self.outcome);
    }
}
