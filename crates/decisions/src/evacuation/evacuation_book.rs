//! The evacuations known to a router.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::recent_evacuation::HeardEnds;
use super::{
    EndCause, EvacuationBatch, EvacuationChange, EvacuationEvent, EvacuationRecord, KeptEvacuation,
    RecentEvacuation,
};
use crate::names::ZoneName;
use crate::time::MonotonicTime;
use crate::topic::{StoreEra, TopicPosition};

/// Time for which an evacuation is kept after the first records of a later era of the store, which lack it.
///
/// A store that comes back from an older copy loses the records that are younger than the copy; the operator writes them again after about
/// two seconds.
pub const KEPT_TIME: Duration = Duration::from_secs(30);
/// Time for which an ended evacuation is remembered after its end no longer makes any upstream cold.
///
/// Other routers may still keep the evacuation for [`KEPT_TIME`], or state its end a few seconds later than this one knows it; neither may be taken for
/// news.
pub const END_MEMORY: Duration = KEPT_TIME;

/// Evacuations by zone, with the records that they are known from.
#[derive(Debug, Default)]
pub struct EvacuationBook {
    /// Era of the newest records; `None` before the first ones.
    era: Option<StoreEra>,
    zones: BTreeMap<ZoneName, KnownZone>,
    /// Ends that other routers stated.
    heard: HeardEnds,
}

/// What is known of one zone.
#[derive(Debug)]
struct KnownZone {
    /// Position of its newest record, so that an older one that is read again changes nothing.
    position: TopicPosition,
    state: ZoneState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ZoneState {
    /// Evacuated by a record of the present era.
    InForce,
    /// Evacuated by a record of an earlier era, until this time.
    Kept(MonotonicTime),
    /// In use since this time.
    Ended(MonotonicTime),
    /// In use by a record that was read at this time; its evacuation was never in force here.
    InUse(MonotonicTime),
}

impl EvacuationBook {
    /// Applies records that were read at `now`; returns what changed. Records of an earlier era than the newest ones change nothing.
    pub fn apply(&mut self, batch: &EvacuationBatch, now: MonotonicTime) -> Vec<EvacuationEvent> {
        if self.era.is_some_and(|era| batch.era < era) {
            return Vec::new();
        }
        let mut events = self.expire(now);
        let is_later_era = self.era.is_some_and(|era| batch.era > era);
        self.era = Some(batch.era);
        if is_later_era {
            self.keep_all(now);
        }
        for record in &batch.records {
            let position = TopicPosition::new(batch.era, record.offset);
            events.extend(self.apply_record(record, position, now));
        }
        if is_later_era {
            events.extend(self.kept(now).map(|(zone, left)| EvacuationEvent::Kept {
                zone: zone.clone(),
                left,
            }));
        }
        if let Some(end) = batch.listed_to {
            events.extend(self.end_unlisted(batch, end, now));
        }
        events
    }

    /// Keeps an evacuation that another router keeps, if the store is in the same era and nothing is known of the zone here; returns
    /// whether it does.
    pub fn learn_kept(&mut self, kept: &KeptEvacuation, now: MonotonicTime) -> bool {
        let is_over = kept.left_ms == 0;
        if is_over || self.era != Some(kept.era) || self.zones.contains_key(&kept.zone) {
            return false;
        }
        let left = Duration::from_millis(kept.left_ms).min(KEPT_TIME);
        let zone = KnownZone {
            position: TopicPosition::default(),
            state: ZoneState::Kept(now.after(left)),
        };
        self.zones.insert(kept.zone.clone(), zone);
        true
    }

    /// The evacuations that are kept without a record of the present era, for other routers.
    pub fn all_kept(&self, now: MonotonicTime) -> Vec<KeptEvacuation> {
        let era = self.era.unwrap_or_default();
        let kept = self.kept(now).map(|(zone, left)| KeptEvacuation {
            zone: zone.clone(),
            era,
            left_ms: left.as_millis() as u64,
        });
        kept.collect()
    }

    /// Ends the evacuations whose time without a record is over; returns them.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<EvacuationEvent> {
        let mut events = Vec::new();
        for (zone, known) in &mut self.zones {
            if let ZoneState::Kept(until) = known.state
                && until <= now
            {
                known.state = ZoneState::Ended(until);
                events.push(EvacuationEvent::Ended {
                    zone: zone.clone(),
                    cause: EndCause::Lapsed,
                });
            }
        }
        events
    }

    /// Records when evacuations were in force by the statements of another router, of which those that are at least `longest` old are of no use.
    pub fn learn_recent(
        &mut self,
        recent: &[RecentEvacuation],
        longest: Duration,
        now: MonotonicTime,
    ) {
        for recent in recent {
            let age = Duration::from_millis(recent.ended_ms);
            let is_evacuated = self.is_evacuated(&recent.zone, now);
            let is_known = self.own_end(&recent.zone, now).is_some();
            if age < longest && !is_evacuated && !is_known {
                self.heard.learn(recent, now);
            }
        }
    }

    /// The evacuations that are in force or ended less than `longest` ago, for other routers.
    pub fn recent(&self, longest: Duration, now: MonotonicTime) -> Vec<RecentEvacuation> {
        let heard = self.heard.all().map(|(zone, _)| zone);
        let zones: BTreeSet<&ZoneName> = self.zones.keys().chain(heard).collect();
        let recent = zones.into_iter().filter_map(|zone| {
            let age = match self.is_evacuated(zone, now) {
                true => Duration::ZERO,
                false => self.ended_age(zone, now).filter(|age| *age < longest)?,
            };
            Some(RecentEvacuation {
                zone: zone.clone(),
                ended_ms: age.as_millis() as u64,
            })
        });
        recent.collect()
    }

    /// Removes the evacuations that ended more than `longest` and [`END_MEMORY`] ago.
    pub fn remove_ended(&mut self, longest: Duration, now: MonotonicTime) {
        let age = longest + END_MEMORY;
        self.heard.remove_older(age, now);
        self.zones.retain(|_, known| match known.state {
            ZoneState::InForce | ZoneState::Kept(_) => true,
            ZoneState::Ended(at) | ZoneState::InUse(at) => now.since(at) < age,
        });
    }

    /// Whether nothing may be sent to upstreams in `zone`.
    pub fn is_evacuated(&self, zone: &ZoneName, now: MonotonicTime) -> bool {
        let known = self.zones.get(zone);
        known.is_some_and(|known| known.state.is_evacuated(now))
    }

    /// Whether no zone is known that is or was evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.heard.is_empty()
    }

    /// The evacuated zones, sorted by name.
    pub fn evacuated(&self, now: MonotonicTime) -> impl Iterator<Item = &ZoneName> {
        let zones = self.zones.iter();
        zones
            .filter(move |(_, known)| known.state.is_evacuated(now))
            .map(|(zone, _)| zone)
    }

    /// Time since the evacuation of `zone` ended here or, by what other routers stated, elsewhere; `None` while it is evacuated, and if nothing is known
    /// of an end.
    pub fn ended_age(&self, zone: &ZoneName, now: MonotonicTime) -> Option<Duration> {
        if self.is_evacuated(zone, now) {
            return None;
        }
        let ended_at = self.own_end(zone, now).max(self.heard.ended_at(zone))?;
        Some(now.since(ended_at))
    }

    /// When the evacuation of `zone` ended here; `None` while it is evacuated, and if no evacuation of it was in force here.
    fn own_end(&self, zone: &ZoneName, now: MonotonicTime) -> Option<MonotonicTime> {
        match self.zones.get(zone)?.state {
            ZoneState::Ended(at) => Some(at),
            ZoneState::Kept(until) if until <= now => Some(until),
            ZoneState::InForce | ZoneState::Kept(_) | ZoneState::InUse(_) => None,
        }
    }

    fn kept(&self, now: MonotonicTime) -> impl Iterator<Item = (&ZoneName, Duration)> {
        self.zones.iter().filter_map(move |(zone, known)| {
            let ZoneState::Kept(until) = known.state else {
                return None;
            };
            let left = until.since(now);
            (!left.is_zero()).then_some((zone, left))
        })
    }

    /// Keeps all evacuations for a while, because the store's new era may lack their records.
    fn keep_all(&mut self, now: MonotonicTime) {
        let until = now.after(KEPT_TIME);
        for known in self.zones.values_mut() {
            if known.state.is_evacuated(now) {
                known.state = ZoneState::Kept(until);
            }
        }
    }

    fn apply_record(
        &mut self,
        record: &EvacuationRecord,
        position: TopicPosition,
        now: MonotonicTime,
    ) -> Option<EvacuationEvent> {
        let zone = record.zone.clone();
        let former = self.zones.get(&zone);
        let is_known = former.is_some_and(|former| former.position >= position);
        if is_known && former.is_some_and(|former| !former.state.is_kept()) {
            return None;
        }
        let former = former.map(|former| former.state);
        let offset = record.offset;
        let (state, event) = match (record.change, former) {
            (EvacuationChange::Unreadable, _) => return None,
            (EvacuationChange::Begin, Some(ZoneState::InForce)) => (ZoneState::InForce, None),
            (EvacuationChange::Begin, Some(ZoneState::Kept(_))) => (
                ZoneState::InForce,
                Some(EvacuationEvent::Confirmed { zone, offset }),
            ),
            (EvacuationChange::Begin, _) => (
                ZoneState::InForce,
                Some(EvacuationEvent::Began { zone, offset }),
            ),
            (EvacuationChange::End, Some(ZoneState::Ended(at))) => (ZoneState::Ended(at), None),
            (EvacuationChange::End, Some(ZoneState::InUse(at))) => (ZoneState::InUse(at), None),
            (EvacuationChange::End, Some(_)) => {
                let cause = EndCause::Removed;
                let event = EvacuationEvent::Ended { zone, cause };
                (ZoneState::Ended(now), Some(event))
            }
            (EvacuationChange::End, None) => (ZoneState::InUse(now), None),
        };
        self.zones
            .insert(record.zone.clone(), KnownZone { position, state });
        event
    }

    /// Ends the evacuations whose records are before `end` and whose keys a listing of all keys lacks. Those that are kept from an earlier
    /// era stay: the operator may not have written their records again yet.
    fn end_unlisted(
        &mut self,
        batch: &EvacuationBatch,
        end: u64,
        now: MonotonicTime,
    ) -> Vec<EvacuationEvent> {
        let mut events = Vec::new();
        for (zone, known) in &mut self.zones {
            let is_listed = batch.records.iter().any(|record| record.zone == *zone);
            let is_in_force = known.state == ZoneState::InForce;
            if is_listed || !is_in_force || known.position.offset >= end {
                continue;
            }
            // The removal has an offset before the end of the listing; an older record must not undo it.
            known.position.offset = end.saturating_sub(1);
            known.state = ZoneState::Ended(now);
            events.push(EvacuationEvent::Ended {
                zone: zone.clone(),
                cause: EndCause::NotListed,
            });
        }
        events
    }
}

impl ZoneState {
    fn is_kept(self) -> bool {
        matches!(self, Self::Kept(_))
    }

    fn is_evacuated(self, now: MonotonicTime) -> bool {
        match self {
            Self::InForce => true,
            Self::Kept(until) => now < until,
            Self::Ended(_) | Self::InUse(_) => false,
        }
    }
}
