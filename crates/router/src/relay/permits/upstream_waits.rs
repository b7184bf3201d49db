//! When permits of upstreams are to be asked for again, and how much these upstreams answer.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;

/// What issuers of permits told this router, by upstream.
#[derive(Debug, Default)]
pub struct UpstreamWaits {
    waits: HashMap<UpstreamIncarnation, UpstreamWait>,
}

/// What the issuer of one upstream told.
#[derive(Debug, Clone, Default)]
struct UpstreamWait {
    /// Time until which no permit is asked for.
    until: Option<MonotonicTime>,
    /// Requests per second that the upstream answers.
    per_second: Option<f64>,
    /// Router that was asked last.
    issuer: Option<HostName>,
}

impl UpstreamWaits {
    /// Records that no permit for `upstream` is to be asked for until `until`.
    pub fn postpone(&mut self, upstream: &UpstreamIncarnation, until: MonotonicTime) {
        self.wait(upstream).until = Some(until);
    }

    /// Records that `upstream` answers `per_second` requests per second.
    pub fn record_rate(&mut self, upstream: &UpstreamIncarnation, per_second: f64) {
        self.wait(upstream).per_second = Some(per_second);
    }

    /// Records that `issuer` is asked; returns whether another one was asked before.
    pub fn record_issuer(&mut self, upstream: &UpstreamIncarnation, issuer: &HostName) -> bool {
        let known = &mut self.wait(upstream).issuer;
        if known.as_ref() == Some(issuer) {
            return false;
        }
        known.replace(issuer.clone()).is_some()
    }

    /// Time left until a permit for `upstream` is to be asked for; `None` if it can be now.
    pub fn left(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) -> Option<Duration> {
        let left = self.waits.get(upstream)?.until?.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Requests per second that `upstream` answers, if its issuer told.
    pub fn per_second(&self, upstream: &UpstreamIncarnation) -> Option<f64> {
        self.waits.get(upstream)?.per_second
    }

    /// Forgets the upstreams for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamIncarnation) -> bool) {
        self.waits.retain(|upstream, _| is_listed(upstream));
    }

    fn wait(&mut self, upstream: &UpstreamIncarnation) -> &mut UpstreamWait {
        self.waits.entry(upstream.clone()).or_default()
    }
}
