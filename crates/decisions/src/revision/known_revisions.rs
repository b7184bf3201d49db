//! Revisions that other routers have in force.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::names::HostName;
use crate::time::MonotonicTime;

/// Time for which a revision counts after a router last stated it. Longer than the operator takes to write again what the store lost, so
/// that it ends only where nobody can give the revision out any more.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(10);

/// What other routers stated to have in force, where that is later than what is in force here.
#[derive(Debug, Default)]
pub struct KnownRevisions {
    /// The highest revision that each router stated; none once it is in force here, so that it is empty while nothing is missing.
    stated: BTreeMap<HostName, StatedRevision>,
}

#[derive(Debug)]
struct StatedRevision {
    revision: u64,
    at: MonotonicTime,
}

impl KnownRevisions {
    /// Records that `router` stated `revision` at `now`. A lower one than before, as after its restart, takes back nothing.
    pub fn hear(&mut self, router: &HostName, revision: u64, now: MonotonicTime) {
        let known = self.stated.get(router);
        let is_lower = known.is_some_and(|known| known.is_valid(now) && known.revision > revision);
        if !is_lower {
            let stated = StatedRevision { revision, at: now };
            self.stated.insert(router.clone(), stated);
        }
    }

    /// Forgets the revisions that are not later than `revision`, which is in force here.
    pub fn settle(&mut self, revision: u64) {
        self.stated.retain(|_, stated| stated.revision > revision);
    }

    /// The highest revision; `None` if no router has a later one than is in force here.
    pub fn newest(&self, now: MonotonicTime) -> Option<u64> {
        let valid = self.stated.values().filter(|stated| stated.is_valid(now));
        valid.map(|stated| stated.revision).max()
    }

    /// Routers that have the highest revision, the one that stated it last first.
    pub fn holders(&self, now: MonotonicTime) -> SmallVec<[HostName; 4]> {
        let newest = self.newest(now);
        let valid = self
            .stated
            .iter()
            .filter(|(_, stated)| stated.is_valid(now));
        let holding = valid.filter(|(_, stated)| Some(stated.revision) == newest);
        let mut holders: SmallVec<[_; 4]> = holding.collect();
        holders.sort_by_key(|(_, stated)| Reverse(stated.at));
        holders.into_iter().map(|(host, _)| host.clone()).collect()
    }
}

impl StatedRevision {
    fn is_valid(&self, now: MonotonicTime) -> bool {
        now.since(self.at) < STATEMENT_LIFETIME
    }
}
