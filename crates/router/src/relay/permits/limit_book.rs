//! What this router last heard of the limits of upstreams.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;

use super::{LimitNotice, StatedLimits};

/// Time after which an upstream of which nothing was heard is forgotten if it names no limit.
const ENDED_MEMORY: Duration = Duration::from_secs(60);
/// Maximum number of upstreams held; the ones heard of longest ago are dropped.
const UPSTREAM_LIMIT: usize = 4_096;

/// The newest statement about each upstream's limit.
#[derive(Debug, Default)]
pub struct LimitBook {
    heard: HashMap<UpstreamIncarnation, HeardLimit>,
}

/// The newest statement about one upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeardLimit {
    /// What it stated; none if it names no limit any more.
    pub stated: StatedLimits,
    /// When that was heard by the router that heard it.
    pub heard_at: MonotonicTime,
    /// Time until which no permit is asked for.
    pub no_permit_until: Option<MonotonicTime>,
}

impl LimitBook {
    /// The newest statement about the limit of `upstream`.
    pub fn get(&self, upstream: &UpstreamIncarnation) -> Option<&HeardLimit> {
        self.heard.get(upstream)
    }

    /// Whether any upstream names a limit.
    pub fn has_limits(&self) -> bool {
        self.heard.values().any(|heard| !heard.stated.is_none())
    }

    /// Records a statement heard at `heard_at`, unless a newer one is known; returns whether the limit differs from the one before.
    pub fn record(
        &mut self,
        upstream: &UpstreamIncarnation,
        stated: StatedLimits,
        heard_at: MonotonicTime,
    ) -> bool {
        let known = self.heard.get(upstream).copied();
        if known.is_some_and(|known| known.heard_at >= heard_at) {
            return false;
        }
        let before = known.map_or_else(StatedLimits::default, |known| known.stated);
        if known.is_none() && stated.is_none() {
            return false;
        }
        let heard = HeardLimit {
            stated,
            heard_at,
            no_permit_until: known.and_then(|known| known.no_permit_until),
        };
        self.heard.insert(upstream.clone(), heard);
        self.shrink();
        before != stated
    }

    /// Records that no permit is to be asked for until `until`.
    pub fn postpone(&mut self, upstream: &UpstreamIncarnation, until: MonotonicTime) {
        if let Some(heard) = self.heard.get_mut(upstream) {
            heard.no_permit_until = Some(until);
        }
    }

    /// Forgets the upstreams for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamIncarnation) -> bool) {
        self.heard.retain(|upstream, _| is_listed(upstream));
    }

    /// All statements, as messages to other routers.
    pub fn notices(&mut self, now: MonotonicTime) -> Vec<LimitNotice> {
        self.heard
            .retain(|_, heard| !heard.stated.is_none() || now.since(heard.heard_at) < ENDED_MEMORY);
        let notices = self.heard.iter();
        notices
            .map(|(upstream, heard)| LimitNotice {
                upstream: upstream.clone(),
                stated: heard.stated,
                heard_ms: now.since(heard.heard_at).as_millis() as u64,
            })
            .collect()
    }

    fn shrink(&mut self) {
        if self.heard.len() <= UPSTREAM_LIMIT {
            return;
        }
        let oldest = self.heard.iter().min_by_key(|(_, heard)| heard.heard_at);
        if let Some(upstream) = oldest.map(|(upstream, _)| upstream.clone()) {
            self.heard.remove(&upstream);
        }
    }
}

impl HeardLimit {
    /// Time for which no request is sent because no permit is expected; `None` if a permit can be asked for or none is needed.
    pub fn wait(&self, now: MonotonicTime) -> Option<Duration> {
        if self.stated.is_none() {
            return None;
        }
        let left = self.no_permit_until?.since(now);
        (!left.is_zero()).then_some(left)
    }
}
