//! Keeps a conversation on the version that runs its request.

use ferry_decisions::names::VersionName;

use crate::relay::relay_core::SharedCore;
use crate::relay::rollouts::SessionKey;

/// Records the version of a conversation when a request begins, and again when it ends, since the pause
/// between two requests of a conversation is counted from the end of the first.
pub struct SessionHold {
    core: SharedCore,
    session: SessionKey,
    version: VersionName,
}

impl SessionHold {
    /// Records that a request of `session` begins at `version`; the drop records its end.
    pub fn begin(core: SharedCore, session: SessionKey, version: &VersionName) -> Self {
        let hold = Self {
            core,
            session,
            version: version.clone(),
        };
        hold.record();
        hold
    }

    fn record(&self) {
        let now = self.core.clock.now();
        self.core
            .rollouts
            .sessions
            .record(self.session, &self.version, now);
    }
}

impl Drop for SessionHold {
    fn drop(&mut self) {
        self.record();
    }
}
