//! Crash history of one request.

use std::collections::BTreeSet;

use crate::names::HostName;
use crate::time::UnixMillis;

/// Maximum number of crashes kept for a request; the latest are kept.
const CRASH_LIMIT: usize = 16;
/// Time within which crash reports on one upstream count as the same crash, detected by several
/// routers, in milliseconds.
const SAME_CRASH_MS: u64 = 5_000;
/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// Duration of a quarantine after the last crash, in milliseconds.
const QUARANTINE_MS: u64 = 3_600_000;
/// Time after the last crash for which a request stays a suspect, in milliseconds.
const SUSPICION_MS: u64 = 600_000;

/// Crash of an upstream with the request in flight.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ObservedCrash {
    /// Time at which a router detected it.
    pub(super) at: UnixMillis,
    /// Upstream that crashed.
    pub(super) upstream: HostName,
    /// Whether the request ran on the upstream as the only suspect.
    pub(super) isolated: bool,
}

/// Crashes and survived runs of one request.
#[derive(Debug, Default, PartialEq)]
pub(super) struct SuspectEntry {
    crashes: BTreeSet<ObservedCrash>,
    /// End of the latest run that the upstream survived.
    survived: Option<UnixMillis>,
    /// Revision of the pool at the last change.
    pub(super) revision: u64,
}

impl SuspectEntry {
    pub(super) fn crashes(&self) -> &BTreeSet<ObservedCrash> {
        &self.crashes
    }

    pub(super) fn survived(&self) -> Option<UnixMillis> {
        self.survived
    }

    /// Adds a crash; returns whether it was new and is kept.
    pub(super) fn add_crash(&mut self, crash: &ObservedCrash) -> bool {
        let added = self.crashes.insert(crash.clone());
        if self.crashes.len() > CRASH_LIMIT {
            self.crashes.pop_first();
        }
        added && self.crashes.contains(crash)
    }

    /// Adds the end of a run that the upstream survived; returns whether it is the latest one.
    pub(super) fn add_survival(&mut self, at: UnixMillis) -> bool {
        let is_newer = self.survived.is_none_or(|known| known < at);
        self.survived = self.survived.max(Some(at));
        is_newer
    }

    /// Whether the request crashed two upstreams, or one upstream twice, since it was last
    /// answered. Crashes for which `is_attributed` is true are attributed to another request and do
    /// not count.
    pub(super) fn is_quarantined(
        &self,
        now: UnixMillis,
        is_attributed: impl Fn(&ObservedCrash) -> bool,
    ) -> bool {
        let count = self.distinct_crashes(|crash| !is_attributed(crash));
        !self.is_expired(now) && count >= QUARANTINE_CRASHES
    }

    /// Whether the request had [`QUARANTINE_CRASHES`] crashes since it was last answered, whether
    /// attributed to another request or not, and was the only suspect in one of them.
    pub(super) fn is_culprit(&self, now: UnixMillis) -> bool {
        !self.is_expired(now)
            && self.distinct_crashes(|_| true) >= QUARANTINE_CRASHES
            && self.crashes_since_survival().any(|crash| crash.isolated)
    }

    /// Whether the entry is too old to matter and can be removed.
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
        self.crashes.last().map(|crash| crash.at)
    }

    /// Crashes after the latest run that the upstream survived.
    pub(super) fn crashes_since_survival(&self) -> impl Iterator<Item = &ObservedCrash> {
        self.crashes
            .iter()
            .filter(|crash| self.survived.is_none_or(|end| end < crash.at))
    }

    pub(super) fn has_crashed(&self, upstream: &HostName) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == *upstream)
    }

    /// Number of crashes since the last survived run for which `counts` is true; reports of
    /// several routers on the same crash count once.
    fn distinct_crashes(&self, counts: impl Fn(&ObservedCrash) -> bool) -> usize {
        let counted = || self.crashes_since_survival().filter(|crash| counts(crash));
        let is_first = |crash: &&ObservedCrash| {
            !counted().any(|other| other < *crash && is_same_crash(other, crash))
        };
        counted().filter(is_first).count()
    }
}

/// Whether two reports are about the same crash.
pub(super) fn is_same_crash(one: &ObservedCrash, other: &ObservedCrash) -> bool {
    let difference_ms = one.at.0.abs_diff(other.at.0);
    one.upstream == other.upstream && difference_ms <= SAME_CRASH_MS
}
