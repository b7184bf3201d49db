//! When confirmations of the operator's records count for the rules in force.

use std::time::Duration;

use smallvec::SmallVec;

use super::KnownRevisions;
use crate::names::HostName;
use crate::time::MonotonicTime;
use crate::topic::StoreEra;

/// Confirmations of the rules in force, and what holds them back: an era that was not checked yet, a later revision that another router has,
/// or a newest record that can't be read.
///
/// A confirmation is the moment at which the store certainly held no further record than those that are applied here.
#[derive(Debug, Default)]
pub struct RulesConfirmation {
    /// Revision in force; absent before the first one.
    in_force: Option<u64>,
    known: KnownRevisions,
    /// Since when another router is known to have a later revision; absent while none is.
    outrun_since: Option<MonotonicTime>,
    /// Era that was checked last.
    checked: Option<StoreEra>,
    /// Latest confirmation that is held back.
    waiting: Option<(StoreEra, Duration)>,
    /// Whether the newest record can't be read, so that what is in force is not what the store holds.
    is_unreadable: bool,
}

impl RulesConfirmation {
    /// Records that `revision` is in force, which is later than the one before; returns the confirmation that counts now.
    pub fn apply(&mut self, revision: u64, now: MonotonicTime) -> Option<Duration> {
        self.in_force = Some(revision);
        self.known.settle(revision);
        self.release(now)
    }

    /// Records that `router` stated at `now` to have `revision` in force; returns whether it is later than the one here.
    pub fn hear(&mut self, router: &HostName, revision: Option<u64>, now: MonotonicTime) -> bool {
        let Some(revision) = revision.filter(|revision| Some(*revision) > self.in_force) else {
            return false;
        };
        self.known.hear(router, revision, now);
        self.outrun_since.get_or_insert(now);
        true
    }

    /// Records a confirmation in `era`; returns the one that counts now, `None` while it is held back.
    pub fn confirm(
        &mut self,
        era: StoreEra,
        moment: Duration,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if self.is_unreadable {
            return None;
        }
        self.waiting = self.waiting.max(Some((era, moment)));
        self.release(now)
    }

    /// Records that `era` was checked; returns the confirmation that counts now.
    pub fn set_checked(&mut self, era: StoreEra, now: MonotonicTime) -> Option<Duration> {
        self.checked = Some(era);
        self.release(now)
    }

    /// Records whether the newest record can be read; while it can't, nothing is confirmed.
    pub fn set_unreadable(&mut self, is_unreadable: bool) {
        self.is_unreadable = is_unreadable;
        if is_unreadable {
            self.waiting = None;
        }
    }

    /// Whether the newest record can't be read.
    pub fn is_unreadable(&self) -> bool {
        self.is_unreadable
    }

    /// Era of a confirmation that waits for its check; `None` if none does.
    pub fn unchecked_era(&self) -> Option<StoreEra> {
        let (era, _) = self.waiting?;
        (self.checked != Some(era)).then_some(era)
    }

    /// Whether an era was checked: until then nothing counts as confirmed.
    pub fn has_checked_era(&self) -> bool {
        self.checked.is_some()
    }

    /// Highest revision that another router has in force and that is later than the one here.
    pub fn missing(&self, now: MonotonicTime) -> Option<u64> {
        self.known.newest(now)
    }

    /// Routers that have it, the one that stated it last first.
    pub fn holders(&self, now: MonotonicTime) -> SmallVec<[HostName; 4]> {
        self.known.holders(now)
    }

    /// Whether another router has been known for `time` to have a later revision in force.
    pub fn is_outrun_for(&self, time: Duration, now: MonotonicTime) -> bool {
        let since = self.outrun_since.filter(|_| self.missing(now).is_some());
        since.is_some_and(|since| now.since(since) >= time)
    }

    /// Takes the waiting confirmation if nothing holds it back any more.
    fn release(&mut self, now: MonotonicTime) -> Option<Duration> {
        if self.missing(now).is_some() {
            return None;
        }
        self.outrun_since = None;
        let (era, _) = self.waiting?;
        let waited = self.waiting.take_if(|_| self.checked == Some(era));
        waited.map(|(_, moment)| moment)
    }
}
