//! A request that was handed to a version in a roll-out.

use std::sync::Arc;

use ferry_decisions::guard::AnswerOutcome;
use ferry_decisions::names::{VersionName, WorkspaceName};

use super::GuardDesk;

/// Records exactly one outcome: when it is dropped, also by a cancellation.
#[derive(Debug)]
pub struct ServedRequest {
    desk: Arc<GuardDesk>,
    version: VersionName,
    epoch: u64,
    workspace: WorkspaceName,
    outcome: AnswerOutcome,
}

impl ServedRequest {
    pub(super) fn new(
        desk: Arc<GuardDesk>,
        version: VersionName,
        epoch: u64,
        workspace: WorkspaceName,
    ) -> Self {
        Self {
            desk,
            version,
            epoch,
            workspace,
            outcome: AnswerOutcome::Unanswered,
        }
    }

    /// The version.
    pub fn version(&self) -> &VersionName {
        &self.version
    }

    /// Sets the outcome to be recorded.
    pub(super) fn set_outcome(&mut self, outcome: AnswerOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        let Self {
            version, workspace, ..
        } = self;
        self.desk
            .record_outcome(version, self.epoch, workspace, self.outcome);
    }
}
