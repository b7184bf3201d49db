//! State of the path to one upstream.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::paths::PathHealth;
use ferry_decisions::time::MonotonicTime;

/// Path to one upstream, and the router through which it is reached while the path is lost.
#[derive(Debug, Clone, Default)]
pub struct UpstreamPath {
    /// Belief about the direct path.
    pub health: PathHealth,
    /// Router that reaches the upstream; only while the direct path is lost.
    pub detour: Option<HostName>,
    /// Whether requests of this router need the upstream, so that a detour is looked for while the path is lost.
    pub is_wanted: bool,
}

impl UpstreamPath {
    /// Whether requests can reach the upstream directly or by a detour, as far as known.
    pub fn is_usable(&self) -> bool {
        !self.health.is_lost() || self.detour.is_some()
    }

    /// Whether a router that reaches the upstream is to be looked for.
    pub fn lacks_detour(&self) -> bool {
        self.health.is_lost() && self.is_wanted && self.detour.is_none()
    }

    /// Records a failed connect; returns whether the path worked before.
    pub fn record_failure(&mut self, now: MonotonicTime) -> bool {
        self.health.record_failure(now)
    }

    /// Records that the upstream was heard over the direct path; returns whether the path was lost before.
    pub fn record_success(&mut self, now: MonotonicTime) -> bool {
        self.detour = None;
        self.is_wanted = false;
        self.health.record_success(now)
    }

    /// Whether the path works as far as known, but was not heard over for `span`.
    pub fn is_unconfirmed(&self, span: Duration, now: MonotonicTime) -> bool {
        !self.health.is_lost() && !self.health.was_heard_within(span, now)
    }
}
