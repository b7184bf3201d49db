//! Fold of the entries.

use std::collections::HashMap;
use std::time::Duration;

use super::{UpstreamRecord, UpstreamStage};
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Time after an outage of the store in which a live upstream registers again.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// What an entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterChange {
    /// Nothing that matters to requests.
    None,
    /// An upstream appeared, or began another life.
    Appeared,
    /// An upstream is to get no more work.
    Leaving,
    /// An upstream is gone.
    Gone,
}

/// Upstreams by id.
#[derive(Debug, Default)]
pub struct UpstreamRoster {
    known: HashMap<HostName, KnownUpstream>,
    /// When the store was last found to answer again after an outage.
    returned: Option<MonotonicTime>,
}

#[derive(Debug)]
struct KnownUpstream {
    record: UpstreamRecord,
    /// Whether its newest entry names it; a malformed one does not.
    named: bool,
    /// Until when it is kept though its entry was found missing after an outage.
    kept_until: Option<MonotonicTime>,
}

impl UpstreamRoster {
    /// Takes in an entry that could be read.
    ///
    /// An entry of an earlier life, or older than the one held, changes nothing; an upstream
    /// that was leaving stays so for the rest of its life.
    pub fn observe(&mut self, record: UpstreamRecord) -> RosterChange {
        let id = record.life.id.clone();
        let Some(known) = self.known.get_mut(&id) else {
            return self.insert(id, record);
        };
        let held = &known.record;
        if record.life == held.life {
            if record.sequence < held.sequence {
                return RosterChange::None;
            }
            return known.renew(record);
        }
        if record.life.born < held.life.born {
            return RosterChange::None;
        }
        self.insert(id, record)
    }

    /// Takes in an entry of `id` that could not be read: it names no upstream.
    pub fn observe_malformed(&mut self, id: &str) -> RosterChange {
        match self.known.get_mut(id) {
            Some(known) if known.named => {
                known.named = false;
                RosterChange::Gone
            }
            _ => RosterChange::None,
        }
    }

    /// Takes in that the entry of `id` was removed.
    ///
    /// Entries lapse while the store is away, so that one missing right after its return is
    /// kept until [`UpstreamRoster::expire`] finds that it did not come back.
    pub fn observe_removed(&mut self, id: &str, now: MonotonicTime) -> RosterChange {
        let kept_until = self
            .returned
            .map(|returned| returned.after(RETURN_GRACE))
            .filter(|end| now < *end);
        let Some(known) = self.known.get_mut(id) else {
            return RosterChange::None;
        };
        if kept_until.is_some() && known.record.stage == UpstreamStage::Ready {
            known.kept_until = known.kept_until.or(kept_until);
            return RosterChange::None;
        }
        self.known.remove(id);
        RosterChange::Gone
    }

    /// Drops `id` at once: another router waited for its return already.
    pub fn forget(&mut self, id: &str) -> RosterChange {
        match self.known.remove(id) {
            Some(_) => RosterChange::Gone,
            None => RosterChange::None,
        }
    }

    /// Drops at once all upstreams but those that `is_listed` takes.
    pub fn forget_unlisted(&mut self, is_listed: impl Fn(&HostName) -> bool) {
        self.known.retain(|id, _| is_listed(id));
    }

    /// Takes in that the store answers again after an outage.
    pub fn note_return(&mut self, now: MonotonicTime) {
        self.returned = Some(now);
    }

    /// Takes in the ids of a whole listing: the others were removed.
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

    /// Drops the upstreams that did not come back in time; returns whether there were any.
    pub fn expire(&mut self, now: MonotonicTime) -> bool {
        let before = self.known.len();
        self.known
            .retain(|_, known| known.kept_until.is_none_or(|end| now < end));
        self.known.len() < before
    }

    /// Whether upstreams are kept whose entries were found missing after an outage.
    ///
    /// Another router must not learn of them here: it may know that they are gone.
    pub fn holds_missing(&self) -> bool {
        self.known.values().any(|known| known.kept_until.is_some())
    }

    /// Every upstream that an entry names, leaving ones included.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.known
            .values()
            .filter(|known| known.named)
            .map(|known| &known.record)
    }

    fn insert(&mut self, id: HostName, record: UpstreamRecord) -> RosterChange {
        let change = match record.stage {
            UpstreamStage::Ready => RosterChange::Appeared,
            UpstreamStage::Draining => RosterChange::Leaving,
        };
        let known = KnownUpstream {
            record,
            named: true,
            kept_until: None,
        };
        self.known.insert(id, known);
        change
    }
}

impl KnownUpstream {
    /// Replaces the entry by a newer one of the same life.
    fn renew(&mut self, mut record: UpstreamRecord) -> RosterChange {
        let was_leaving = self.record.stage == UpstreamStage::Draining;
        let was_named = std::mem::replace(&mut self.named, true);
        self.kept_until = None;
        if was_leaving {
            record.stage = UpstreamStage::Draining;
        }
        let leaves = record.stage == UpstreamStage::Draining && !was_leaving;
        let moved = record.address != self.record.address || record.service != self.record.service;
        self.record = record;
        match (leaves, moved || !was_named) {
            (true, _) => RosterChange::Leaving,
            (false, true) => RosterChange::Appeared,
            (false, false) => RosterChange::None,
        }
    }
}
