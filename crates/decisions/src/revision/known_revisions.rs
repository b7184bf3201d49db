//! Revisions that other routers have in force.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::names::HostName;

/// Time for which a revision counts after a router last stated it. Longer than the operator takes to write again what the store lost, so
/// that it ends only where nobody can give the revision out any more.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of revisions whose times are kept apart; later ones count from the time of the last of them.
const MAX_HEARD: usize = 16;

/// What other routers stated to have in force, where that is later than what is in force here; empty while nothing is missing.
///
/// Times are those of a clock that also runs while the host is suspended.
#[derive(Debug, Default)]
pub struct KnownRevisions {
    /// The highest revision that each router stated.
    stated: BTreeMap<HostName, StatedRevision>,
    /// When they were first heard of; revisions and times both rise, so that a revision that was heard of after a later one is left out.
    heard: SmallVec<[HeardRevision; 4]>,
    /// The highest one that was heard of before the era was checked, which the store may have lost before this router read it.
    unchecked: Option<u64>,
}

#[derive(Debug)]
struct StatedRevision {
    revision: u64,
    at: Duration,
}

/// A revision, and when it or a later one was first heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeardRevision {
    revision: u64,
    at: Duration,
}

impl KnownRevisions {
    /// Records that `router` stated `revision` at `now`, when the store's era `is_checked`. A lower one than before, as after its restart,
    /// takes back nothing.
    pub fn hear(&mut self, router: &HostName, revision: u64, is_checked: bool, now: Duration) {
        self.expire(now);
        let known = self.stated.get(router);
        if known.is_some_and(|known| known.revision > revision) {
            return;
        }
        let stated = StatedRevision { revision, at: now };
        self.stated.insert(router.clone(), stated);
        self.record_time(revision, now);
        if !is_checked {
            self.unchecked = self.unchecked.max(Some(revision));
        }
    }

    /// Forgets the revisions that are not later than `revision`, which is in force here.
    pub fn settle(&mut self, revision: u64) {
        self.stated.retain(|_, stated| stated.revision > revision);
        self.heard.retain(|heard| heard.revision > revision);
        self.unchecked.take_if(|unchecked| *unchecked <= revision);
    }

    /// The highest revision; `None` if no router has a later one than is in force here.
    pub fn newest(&self, now: Duration) -> Option<u64> {
        self.valid(now).map(|(_, stated)| stated.revision).max()
    }

    /// Since when a later revision than the one in force here is known; `None` if none is.
    pub fn known_since(&self, now: Duration) -> Option<Duration> {
        self.newest(now)?;
        self.heard.first().map(|heard| heard.at)
    }

    /// Whether a later revision was in force elsewhere before `moment`, or may have been.
    pub fn was_known_at(&self, moment: Duration, now: Duration) -> bool {
        let since = self.known_since(now);
        since.is_some_and(|since| self.unchecked.is_some() || moment > since)
    }

    /// Routers that have the highest revision, the one that stated it last first.
    pub fn holders(&self, now: Duration) -> SmallVec<[HostName; 4]> {
        let newest = self.newest(now);
        let holding = self
            .valid(now)
            .filter(|(_, stated)| Some(stated.revision) == newest);
        let mut holders: SmallVec<[_; 4]> = holding.collect();
        holders.sort_by_key(|(_, stated)| Reverse(stated.at));
        holders.into_iter().map(|(host, _)| host.clone()).collect()
    }

    fn record_time(&mut self, revision: u64, now: Duration) {
        let is_full = self.heard.len() == MAX_HEARD;
        match self.heard.last_mut() {
            Some(last) if last.revision >= revision => {}
            Some(last) if is_full => last.revision = revision,
            _ => self.heard.push(HeardRevision { revision, at: now }),
        }
    }

    /// Forgets statements whose time is over, and with them the revisions above those that are still stated.
    fn expire(&mut self, now: Duration) {
        self.stated.retain(|_, stated| stated.is_valid(now));
        let Some(newest) = self.newest(now) else {
            *self = Self::default();
            return;
        };
        self.unchecked = self.unchecked.map(|unchecked| unchecked.min(newest));
        for heard in &mut self.heard {
            heard.revision = heard.revision.min(newest);
        }
        self.heard.dedup_by_key(|heard| heard.revision);
    }

    fn valid(&self, now: Duration) -> impl Iterator<Item = (&HostName, &StatedRevision)> {
        let stated = self.stated.iter();
        stated.filter(move |(_, stated)| stated.is_valid(now))
    }
}

impl StatedRevision {
    fn is_valid(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) < STATEMENT_LIFETIME
    }
}
