//! Host list whose changes become visible after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_platform::hosts::{HostEntry, HostListing};
use tokio::time::Instant;

/// Maximum number of pending changes; beyond it, the oldest one becomes visible before its lag has
/// passed.
const PENDING_LIMIT: usize = 100_000;

/// Visible entries of the host list, and pending changes.
#[derive(Debug, Default)]
pub(super) struct HostTable {
    visible: BTreeMap<HostName, HostEntry>,
    /// Pending changes with the time at which each was made, oldest first.
    pending: VecDeque<(Instant, HostChange)>,
}

#[derive(Debug)]
enum HostChange {
    Put(HostEntry),
    Remove(HostName),
}

impl HostTable {
    /// Adds or changes the entry of a host.
    pub(super) fn put(&mut self, entry: HostEntry) {
        self.change(HostChange::Put(entry));
    }

    /// Removes the entry of a host.
    pub(super) fn remove(&mut self, name: HostName) {
        self.change(HostChange::Remove(name));
    }

    /// The host list, including all changes that are at least `lag` old.
    pub(super) fn listing(&mut self, lag: Duration) -> HostListing {
        let now = Instant::now();
        while self
            .pending
            .front()
            .is_some_and(|(changed_at, _)| *changed_at + lag <= now)
        {
            self.apply_next();
        }
        HostListing {
            hosts: self.visible.values().cloned().collect(),
        }
    }

    fn change(&mut self, change: HostChange) {
        if self.pending.len() >= PENDING_LIMIT {
            self.apply_next();
        }
        self.pending.push_back((Instant::now(), change));
    }

    fn apply_next(&mut self) {
        match self.pending.pop_front() {
            Some((_, HostChange::Put(entry))) => {
                self.visible.insert(entry.name.clone(), entry);
            }
            Some((_, HostChange::Remove(name))) => {
                self.visible.remove(&name);
            }
            None => {}
        }
    }
}
