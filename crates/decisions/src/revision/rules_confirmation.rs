//! When confirmations of the operator's records count for the rules in force.

use std::time::Duration;

use smallvec::SmallVec;

use super::KnownRevisions;
use crate::names::HostName;
use crate::topic::StoreEra;

/// Confirmations of the rules in force, and what holds them back: an era that was not checked yet, a later revision that another router has,
/// or a newest record that can't be read.
///
/// A confirmation is the moment at which the store certainly held no further record than those that are applied here. All times are those of
/// its clock, which also runs while the host is suspended.
#[derive(Debug, Default)]
pub struct RulesConfirmation {
    /// Revision in force; absent before the first one.
    in_force: Option<u64>,
    /// Later ones that other routers have.
    known: KnownRevisions,
    /// Era that was checked last.
    checked: Option<StoreEra>,
    /// Latest confirmation that is held back.
    waiting: Option<(StoreEra, Duration)>,
    /// Whether the newest record can't be read, so that what is in force is not what the store holds.
    is_unreadable: bool,
}

impl RulesConfirmation {
    /// Records that `revision` is in force, unless a later one is; returns the confirmation that counts now.
    pub fn apply(&mut self, revision: u64, now: Duration) -> Option<Duration> {
        self.in_force = self.in_force.max(Some(revision));
        self.known.settle(revision);
        self.release(now)
    }

    /// Records that `router` stated at `now` to have `revision` in force; returns whether it is later than the one here.
    pub fn hear(&mut self, router: &HostName, revision: Option<u64>, now: Duration) -> bool {
        let Some(revision) = revision.filter(|revision| Some(*revision) > self.in_force) else {
            return false;
        };
        let is_checked = self.checked.is_some() && self.unchecked_era().is_none();
        self.known.hear(router, revision, is_checked, now);
        true
    }

    /// Records a confirmation in `era`; returns the one that counts now, `None` while it is held back.
    pub fn confirm(&mut self, era: StoreEra, moment: Duration, now: Duration) -> Option<Duration> {
        if self.is_unreadable {
            return None;
        }
        self.waiting = self.waiting.max(Some((era, moment)));
        self.release(now)
    }

    /// Records that `era` was checked; returns the confirmation that counts now.
    pub fn set_checked(&mut self, era: StoreEra, now: Duration) -> Option<Duration> {
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

    /// Latest confirmation that is held back by nothing but the check of its era, which each router makes itself.
    pub fn latest_unchecked(&self, now: Duration) -> Option<Duration> {
        let (_, moment) = self.waiting?;
        (!self.known.was_known_at(moment, now)).then_some(moment)
    }

    /// Highest revision that another router has in force and that is later than the one here.
    pub fn missing(&self, now: Duration) -> Option<u64> {
        self.known.newest(now)
    }

    /// Routers that have it, the one that stated it last first.
    pub fn holders(&self, now: Duration) -> SmallVec<[HostName; 4]> {
        self.known.holders(now)
    }

    /// Whether another router has been known for `time` to have a later revision in force.
    pub fn is_outrun_for(&self, time: Duration, now: Duration) -> bool {
        let since = self.known.known_since(now);
        since.is_some_and(|since| now.saturating_sub(since) >= time)
    }

    /// Takes the waiting confirmation if nothing holds it back any more.
    ///
    /// That the store held no further record at a moment when another router had a later revision means that it has lost the revision. One that
    /// was first heard of after that moment may have been written in between.
    fn release(&mut self, now: Duration) -> Option<Duration> {
        let (era, moment) = self.waiting?;
        if self.checked != Some(era) || self.known.was_known_at(moment, now) {
            return None;
        }
        self.waiting = None;
        Some(moment)
    }
}
