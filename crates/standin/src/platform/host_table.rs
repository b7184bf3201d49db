//! Host list whose changes show after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_platform::hosts::{HostEntry, HostListing};
use tokio::time::Instant;

/// Changes that may wait for their lag; the oldest shows early when there are more.
const PENDING_LIMIT: usize = 100_000;

/// Hosts as they are shown, and changes that are not shown yet.
#[derive(Debug, Default)]
pub(super) struct HostTable {
    shown: BTreeMap<HostName, HostEntry>,
    /// Changes in the order in which they were made, with the time of each.
    pending: VecDeque<(Instant, HostChange)>,
}

#[derive(Debug)]
enum HostChange {
    Put(HostEntry),
    Remove(HostName),
}

impl HostTable {
    /// Registers or changes a host.
    pub(super) fn put(&mut self, entry: HostEntry) {
        self.change(HostChange::Put(entry));
    }

    /// Removes a host.
    pub(super) fn remove(&mut self, name: HostName) {
        self.change(HostChange::Remove(name));
    }

    /// The list with all changes that are at least as old as `lag`.
    pub(super) fn listing(&mut self, lag: Duration) -> HostListing {
        let now = Instant::now();
        while self
            .pending
            .front()
            .is_some_and(|(made, _)| *made + lag <= now)
        {
            self.show_next();
        }
        HostListing {
            hosts: self.shown.values().cloned().collect(),
        }
    }

    fn change(&mut self, change: HostChange) {
        if self.pending.len() >= PENDING_LIMIT {
            self.show_next();
        }
        self.pending.push_back((Instant::now(), change));
    }

    fn show_next(&mut self) {
        match self.pending.pop_front() {
            Some((_, HostChange::Put(entry))) => {
                self.shown.insert(entry.name.clone(), entry);
            }
            Some((_, HostChange::Remove(name))) => {
                self.shown.remove(&name);
            }
            None => {}
        }
    }
}
