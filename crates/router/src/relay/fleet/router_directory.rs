//! The registered routers as known here, with numbered changes for the routers that sync from this one.

use std::collections::BTreeMap;
use std::sync::Arc;

use ferry_decisions::names::HostName;
use ferry_decisions::sync::{RouterEntry, SyncOrder};

/// Registered routers; entries are added and replaced, never removed.
#[derive(Debug, Default)]
pub struct RouterDirectory {
    /// Number of changes so far.
    revision: u64,
    /// Entry of each host, with the revision of its last change.
    entries: BTreeMap<HostName, (RouterEntry, u64)>,
    /// The same entries in the order of sync sources.
    order: Arc<SyncOrder>,
}

impl RouterDirectory {
    /// Adds or replaces `entries`; returns whether one of them was not known.
    pub fn merge(&mut self, entries: Vec<RouterEntry>) -> bool {
        let before = self.revision;
        for entry in entries {
            let known = self.entries.get(&entry.host);
            if known.is_some_and(|(known, _)| *known == entry) {
                continue;
            }
            self.revision += 1;
            self.entries
                .insert(entry.host.clone(), (entry, self.revision));
        }
        let has_changed = self.revision != before;
        if has_changed {
            let entries = self.entries.values().map(|(entry, _)| entry.clone());
            self.order = Arc::new(SyncOrder::new(entries.collect()));
        }
        has_changed
    }

    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Entries that changed after `revision`.
    pub fn changes_since(&self, revision: u64) -> Vec<RouterEntry> {
        let changed = self.entries.values().filter(|(_, at)| *at > revision);
        changed.map(|(entry, _)| entry.clone()).collect()
    }

    /// All entries in the order of sync sources.
    pub fn order(&self) -> &Arc<SyncOrder> {
        &self.order
    }
}
