//! Crashes of one request.

use std::collections::BTreeSet;

use crate::names::HostName;
use crate::time::UnixMillis;

/// Most crashes kept of a request; the latest stay.
const CRASH_LIMIT: usize = 16;
/// Crashes of one upstream within this time are one crash seen by several routers, in milliseconds.
const CRASH_SPAN_MS: u64 = 5_000;
/// Crashes that quarantine a request.
const QUARANTINE_CRASHES: usize = 2;
/// Time for which a quarantine lasts after the last crash, in milliseconds.
const QUARANTINE_MS: u64 = 3_600_000;
/// Time for which a request stays a suspect, in milliseconds.
const SUSPICION_MS: u64 = 600_000;

/// One crash with a request in flight.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CrashSite {
    /// When it was seen.
    pub(super) at: UnixMillis,
    /// Upstream that crashed.
    pub(super) upstream: HostName,
    /// Whether the request ran there as the only suspect.
    pub(super) isolated: bool,
}

/// What is known of one request.
#[derive(Debug, Default, PartialEq)]
pub(super) struct SuspectEntry {
    crashes: BTreeSet<CrashSite>,
    /// End of the latest run that its upstream survived.
    survived: Option<UnixMillis>,
    /// Revision of the pool at the last change.
    pub(super) revision: u64,
}

impl SuspectEntry {
    pub(super) fn crashes(&self) -> &BTreeSet<CrashSite> {
        &self.crashes
    }

    pub(super) fn survived(&self) -> Option<UnixMillis> {
        self.survived
    }

    /// Adds a crash and tells whether it was new.
    pub(super) fn add_crash(&mut self, site: &CrashSite) -> bool {
        let added = self.crashes.insert(site.clone());
        if self.crashes.len() > CRASH_LIMIT {
            self.crashes.pop_first();
        }
        added && self.crashes.contains(site)
    }

    /// Adds a run that its upstream survived and tells whether it was news.
    pub(super) fn add_survival(&mut self, at: UnixMillis) -> bool {
        let news = self.survived.is_none_or(|known| known < at);
        self.survived = self.survived.max(Some(at));
        news
    }

    /// Whether it crashed two upstreams, or one upstream twice, since it last was answered;
    /// crashes that `is_explained` says another request caused do not count.
    pub(super) fn is_quarantined(
        &self,
        now: UnixMillis,
        is_explained: impl Fn(&CrashSite) -> bool,
    ) -> bool {
        let count = self.distinct_crashes(|site| !is_explained(site));
        !self.is_expired(now) && count >= QUARANTINE_CRASHES
    }

    /// Whether it crashed that often and ran as the only suspect in one of the crashes.
    pub(super) fn is_culprit(&self, now: UnixMillis) -> bool {
        !self.is_expired(now)
            && self.distinct_crashes(|_| true) >= QUARANTINE_CRASHES
            && self.open_crashes().any(|site| site.isolated)
    }

    /// Whether nothing needs to be known of it any more.
    pub(super) fn is_expired(&self, now: UnixMillis) -> bool {
        let keep_ms = if self.distinct_crashes(|_| true) >= QUARANTINE_CRASHES {
            QUARANTINE_MS
        } else {
            SUSPICION_MS
        };
        self.last_crash()
            .is_none_or(|last| now.since(last) >= keep_ms)
    }

    pub(super) fn last_crash(&self) -> Option<UnixMillis> {
        self.crashes.last().map(|site| site.at)
    }

    /// Crashes after the last run that its upstream survived.
    pub(super) fn open_crashes(&self) -> impl Iterator<Item = &CrashSite> {
        self.crashes
            .iter()
            .filter(|site| self.survived.is_none_or(|end| end < site.at))
    }

    pub(super) fn crashed(&self, upstream: &HostName) -> bool {
        self.crashes.iter().any(|site| site.upstream == *upstream)
    }

    /// Number of open crashes that `counts` takes, each once however many routers saw it.
    fn distinct_crashes(&self, counts: impl Fn(&CrashSite) -> bool) -> usize {
        let counted = || self.open_crashes().filter(|site| counts(site));
        let is_first =
            |site: &&CrashSite| !counted().any(|other| other < *site && is_same_crash(other, site));
        counted().filter(is_first).count()
    }
}

/// Whether two routers saw the same crash.
pub(super) fn is_same_crash(one: &CrashSite, other: &CrashSite) -> bool {
    let apart = one.at.0.abs_diff(other.at.0);
    one.upstream == other.upstream && apart <= CRASH_SPAN_MS
}
