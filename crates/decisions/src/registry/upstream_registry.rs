//! Applies registration entries to the set of known upstreams.

use std::collections::HashMap;
use std::time::Duration;

use super::{LeftUpstream, UpstreamIncarnation, UpstreamRecord, UpstreamStage};
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Time after an outage of the store within which a live upstream registers again.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which a removed entry is remembered: more than the age of the copies from which the store comes back.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// Effect of an entry on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// No change that affects requests.
    None,
    /// An upstream appeared, restarted, or changed its address or service.
    Appeared,
    /// An upstream is leaving and receives no more requests.
    Leaving,
    /// An upstream was removed.
    Gone,
}

/// Known upstreams by id.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    known: HashMap<HostName, KnownUpstream>,
    /// Time at which this router last found the store to answer again after an outage; absent
    /// before the first outage.
    store_recovered_at: Option<MonotonicTime>,
    /// Newest entries of the upstreams that were removed of late.
    removed: HashMap<HostName, RemovedUpstream>,
    /// The same as it was when the store came back from an older copy, which may hold these entries again.
    removed_before_era: HashMap<HostName, RemovedUpstream>,
    /// What other routers know of upstreams that left, whose entries the store may hold as they were before.
    left_elsewhere: HashMap<HostName, LeftUpstream>,
}

/// An upstream whose entry was removed.
#[derive(Debug, Clone, PartialEq)]
struct RemovedUpstream {
    incarnation: UpstreamIncarnation,
    /// Sequence of its newest entry.
    sequence: u64,
    removed_at: MonotonicTime,
}

#[derive(Debug)]
struct KnownUpstream {
    record: UpstreamRecord,
    /// Whether its newest entry could be read; false after a malformed one.
    is_readable: bool,
    /// Time until which it is kept although its entry was missing after an outage; absent while the
    /// entry exists.
    kept_until: Option<MonotonicTime>,
}

impl UpstreamRegistry {
    /// Applies a readable entry.
    ///
    /// An entry of an earlier incarnation, or an older one than the known entry, is ignored. An
    /// upstream that is leaving remains so until it restarts.
    pub fn observe(&mut self, mut record: UpstreamRecord) -> RegistryChange {
        let id = record.incarnation.id.clone();
        if self.is_copied(&record) {
            return RegistryChange::None;
        }
        let left = self.left_elsewhere.get(&id);
        if left.is_some_and(|left| left.is_leaving(&record)) {
            record.stage = UpstreamStage::Draining;
        }
        let Some(known) = self.known.get_mut(&id) else {
            return self.insert(id, record);
        };
        let held = &known.record;
        if record.incarnation == held.incarnation {
            if record.sequence < held.sequence {
                return RegistryChange::None;
            }
            return known.update(record);
        }
        if record.incarnation.started_at < held.incarnation.started_at {
            return RegistryChange::None;
        }
        self.insert(id, record)
    }

    /// Applies an unreadable entry of `id`: the upstream is not returned by
    /// [`UpstreamRegistry::upstreams`] until a readable entry follows.
    pub fn observe_malformed(&mut self, id: &str) -> RegistryChange {
        match self.known.get_mut(id) {
            Some(known) if known.is_readable => {
                known.is_readable = false;
                RegistryChange::Gone
            }
            _ => RegistryChange::None,
        }
    }

    /// Applies the removal of the entry of `id`.
    ///
    /// Entries expire during an outage of the store. An upstream whose entry is missing shortly
    /// after the store recovered is therefore kept until [`UpstreamRegistry::expire`] finds that it
    /// did not register again in time.
    pub fn observe_removed(&mut self, id: &str, now: MonotonicTime) -> RegistryChange {
        let kept_until = self
            .store_recovered_at
            .map(|time| time.after(REREGISTRATION_GRACE))
            .filter(|end| now < *end);
        let Some(known) = self.known.get_mut(id) else {
            return RegistryChange::None;
        };
        if kept_until.is_some() && known.record.stage == UpstreamStage::Ready {
            known.kept_until = known.kept_until.or(kept_until);
            return RegistryChange::None;
        }
        if let Some(known) = self.known.remove(id) {
            self.remember_removed(known.record, now);
        }
        RegistryChange::Gone
    }

    /// Upstreams that are leaving, and those whose entries were removed of late; none that states no start, as a later process with its id
    /// could not be told from it.
    pub fn left(&self, now: MonotonicTime) -> Vec<LeftUpstream> {
        let leaving = self.known.values().map(|known| &known.record);
        let leaving = leaving
            .filter(|record| record.stage == UpstreamStage::Draining)
            .map(|record| LeftUpstream {
                incarnation: record.incarnation.clone(),
                sequence: record.sequence,
                is_gone: false,
            });
        let removed = self.removed.values();
        let removed = removed
            .filter(|removed| now.since(removed.removed_at) < REMOVAL_RETENTION)
            .map(|removed| LeftUpstream {
                incarnation: removed.incarnation.clone(),
                sequence: removed.sequence,
                is_gone: true,
            });
        let left = leaving.chain(removed);
        left.filter(|left| left.incarnation.started_at.is_some())
            .collect()
    }

    /// Applies what another router knows of an upstream: older entries that the store holds, or that were read, don't bring it back.
    pub fn observe_left(&mut self, left: LeftUpstream) -> RegistryChange {
        let id = left.incarnation.id.clone();
        let known = self.known.get_mut(&id);
        let change = match known.filter(|known| left.covers(&known.record)) {
            Some(_) if left.is_gone => {
                self.known.remove(&id);
                RegistryChange::Gone
            }
            Some(known) if known.record.stage == UpstreamStage::Ready => {
                known.record.stage = UpstreamStage::Draining;
                RegistryChange::Leaving
            }
            _ => RegistryChange::None,
        };
        self.left_elsewhere.insert(id, left);
        change
    }

    /// Records at `now` that the store came back from an older copy: entries that are missing in it are written again, and it may hold
    /// entries of upstreams that have left since.
    pub fn begin_era(&mut self, now: MonotonicTime) {
        self.record_store_recovery(now);
        self.removed_before_era.clone_from(&self.removed);
    }

    /// Records that the store answered again after an outage at `moment`; an earlier moment than the recorded one has no effect.
    pub fn record_store_recovery(&mut self, moment: MonotonicTime) {
        self.store_recovered_at = self.store_recovered_at.max(Some(moment));
    }

    /// Applies a complete listing: upstreams for which `is_listed` returns false were removed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&HostName) -> bool, now: MonotonicTime) {
        let missing: Vec<HostName> = self
            .known
            .keys()
            .filter(|id| !is_listed(id))
            .cloned()
            .collect();
        for id in missing {
            self.observe_removed(id.as_str(), now);
        }
    }

    /// Removes the upstreams that did not register again in time; returns whether there were any.
    pub fn expire(&mut self, now: MonotonicTime) -> bool {
        let before = self.known.len();
        self.known
            .retain(|_, known| known.kept_until.is_none_or(|end| now < end));
        self.known.len() < before
    }

    /// Time since the store was last found to answer again after an outage; `None` if there was none.
    pub fn outage_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.store_recovered_at.map(|at| now.since(at))
    }

    /// Whether upstreams are kept whose entries were missing after an outage.
    pub fn holds_missing(&self) -> bool {
        self.known.values().any(|known| known.kept_until.is_some())
    }

    /// Whether this incarnation of an upstream is known.
    pub fn is_known(&self, incarnation: &UpstreamIncarnation) -> bool {
        let known = self.known.get(&incarnation.id);
        known.is_some_and(|known| known.record.incarnation == *incarnation)
    }

    /// Number of known upstreams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// All upstreams with a readable entry, including those that are leaving.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.known
            .values()
            .filter(|known| known.is_readable)
            .map(|known| &known.record)
    }

    /// The same without those whose entries are missing since an outage. Other routers must not take these over, since
    /// they may know that they are gone.
    pub fn listed_upstreams(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let known = self
            .known
            .values()
            .filter(|known| known.kept_until.is_none());
        known
            .filter(|known| known.is_readable)
            .map(|known| &known.record)
    }

    /// Whether `record` is one of the copy from which the store came back, of an upstream that has left.
    fn is_copied(&self, record: &UpstreamRecord) -> bool {
        let id = &record.incarnation.id;
        let removed = self.removed_before_era.get(id);
        let is_removed = removed.is_some_and(|removed| {
            removed.incarnation == record.incarnation && record.sequence <= removed.sequence
        });
        let left = self.left_elsewhere.get(id);
        is_removed || left.is_some_and(|left| left.is_gone && left.covers(record))
    }

    fn remember_removed(&mut self, record: UpstreamRecord, now: MonotonicTime) {
        self.removed
            .retain(|_, removed| now.since(removed.removed_at) < REMOVAL_RETENTION);
        let removed = RemovedUpstream {
            incarnation: record.incarnation,
            sequence: record.sequence,
            removed_at: now,
        };
        self.removed.insert(removed.incarnation.id.clone(), removed);
    }

    fn insert(&mut self, id: HostName, record: UpstreamRecord) -> RegistryChange {
        let change = match record.stage {
            UpstreamStage::Ready => RegistryChange::Appeared,
            UpstreamStage::Draining => RegistryChange::Leaving,
        };
        let known = KnownUpstream {
            record,
            is_readable: true,
            kept_until: None,
        };
        self.known.insert(id, known);
        change
    }
}

impl KnownUpstream {
    /// Replaces the entry by a newer one of the same incarnation.
    fn update(&mut self, mut record: UpstreamRecord) -> RegistryChange {
        let was_leaving = self.record.stage == UpstreamStage::Draining;
        let was_readable = std::mem::replace(&mut self.is_readable, true);
        self.kept_until = None;
        if was_leaving {
            record.stage = UpstreamStage::Draining;
        }
        let leaves = record.stage == UpstreamStage::Draining && !was_leaving;
        let moved = record.address != self.record.address || record.service != self.record.service;
        self.record = record;
        match (leaves, moved || !was_readable) {
            (true, _) => RegistryChange::Leaving,
            (false, true) => RegistryChange::Appeared,
            (false, false) => RegistryChange::None,
        }
    }
}
