//! The way to an upstream: its direct path, and the router through which it is reached while that is lost.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;

use super::RelayUpstream;

impl RelayUpstream {
    /// Whether the direct path to it is lost.
    pub fn is_path_lost(&self) -> bool {
        self.path.lock().health.is_lost()
    }

    /// Router through which it is reached while the direct path is lost.
    pub fn detour(&self) -> Option<HostName> {
        self.path.lock().detour.clone()
    }

    /// Whether a router that reaches it is to be looked for.
    pub fn lacks_detour(&self) -> bool {
        self.path.lock().lacks_detour()
    }

    /// Records that requests need it, so that a detour is looked for while its path is lost.
    pub fn want_path(&self) {
        self.path.lock().is_wanted = true;
    }

    /// Sets the router through which it is reached, if the direct path is lost.
    pub fn set_detour(&self, router: &HostName) {
        let mut path = self.path.lock();
        if path.health.is_lost() {
            path.detour = Some(router.clone());
        }
    }

    /// Records that it is not reached through `router`.
    pub fn drop_detour(&self, router: &HostName) {
        let mut path = self.path.lock();
        path.detour.take_if(|detour| detour == router);
    }

    /// Records a failed connect over the direct path at `now`, and closes the idle connections if the path worked before; returns
    /// whether it did.
    pub fn record_path_failure(&self, now: MonotonicTime) -> bool {
        let has_changed = self.path.lock().record_failure(now);
        if has_changed {
            self.idle.lock().clear();
        }
        has_changed
    }

    /// Records that it was heard over the direct path at `now`, and closes the idle tunnels if the path was lost before; returns
    /// whether it was.
    pub fn record_path_success(&self, now: MonotonicTime) -> bool {
        let has_changed = self.path.lock().record_success(now);
        if has_changed {
            self.idle.lock().clear();
        }
        has_changed
    }

    /// When the lost path is to be probed; `None` while it works.
    pub fn next_probe(&self) -> Option<MonotonicTime> {
        self.path.lock().health.next_probe()
    }

    /// Whether it was heard over the direct path in the last `span`.
    pub fn was_heard_within(&self, span: Duration, now: MonotonicTime) -> bool {
        self.path.lock().health.was_heard_within(span, now)
    }

    /// Whether the direct path works as far as known, but nothing was heard over it for `span`.
    pub fn is_path_unconfirmed(&self, span: Duration, now: MonotonicTime) -> bool {
        self.path.lock().is_unconfirmed(span, now)
    }
}
