//! Ties a conversation to the version that runs its request.

use ferry_decisions::names::VersionName;

use crate::relay::relay_core::SharedCore;
use crate::relay::rollouts::SessionKey;

/// Notes the version of a conversation when a request begins there, and again when it ends: the pause
/// within a conversation counts from the end.
pub struct SessionHold {
    core: SharedCore,
    session: SessionKey,
    version: VersionName,
}

impl SessionHold {
    /// A request of `session` begins at `version`.
    pub fn begin(core: SharedCore, session: SessionKey, version: &VersionName) -> Self {
        let hold = Self {
            core,
            session,
            version: version.clone(),
        };
        hold.note();
        hold
    }

    fn note(&self) {
        let now = self.core.clock.now();
        self.core
            .rollouts
            .sessions
            .note(self.session, &self.version, now);
    }
}

impl Drop for SessionHold {
    fn drop(&mut self) {
        self.note();
    }
}
