//! The evacuations that the operator ordered, as known to this router.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::evacuation::{
    EndCause, EvacuationBatch, EvacuationBook, EvacuationChange, EvacuationEvent, EvacuationRecord,
    KeptEvacuation, RecentEvacuation,
};
use ferry_decisions::names::ZoneName;
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::topic::StoreEra;
use ferry_kernel::ticks;
use ferry_platform::entries::{decode_evacuation, evacuation_key, zone_of_evacuation_key};
use ferry_platform::store::KeyedRecord;
use parking_lot::Mutex;

use super::recent_ends::longest_cold_start;
use crate::relay::relay_core::SharedCore;

/// Period of the checks whether evacuations without a record have lapsed.
const EXPIRY_PERIOD: Duration = Duration::from_millis(500);
/// Metric: evacuated zones.
const ZONES_METRIC: &str = "ferry_evacuated_zones";
/// Metric: sends that were held back at the last moment, because the upstream's zone had been evacuated meanwhile.
const HELD_METRIC: &str = "ferry_evacuation_held_sends_total";
/// Metric: records that cannot be read, here those of evacuations.
const UNREADABLE_METRIC: &str = "ferry_unreadable_entries";

/// Evacuations by zone.
#[derive(Debug, Default)]
pub struct EvacuationManager {
    book: Mutex<EvacuationBook>,
    /// Zones whose newest record cannot be read, with its offset, so that each is logged once.
    unreadable: Mutex<BTreeMap<ZoneName, u64>>,
    /// Whether another router stated which evacuations had ended when this one started.
    is_informed: AtomicBool,
}

impl EvacuationManager {
    /// Applies the evacuations among `records`, which the store gave out in `era`; `listed_to` is the end of the topic if they are all that
    /// it holds.
    ///
    /// Returns a record of the removal of each key that a listing lacks: routers that sync from this one get records only.
    pub fn apply(
        &self,
        era: StoreEra,
        listed_to: Option<u64>,
        records: &[KeyedRecord],
        now: MonotonicTime,
    ) -> Vec<KeyedRecord> {
        let orders = records.iter().filter_map(|record| self.read(record));
        let batch = EvacuationBatch {
            era,
            listed_to,
            records: orders.collect(),
        };
        let mut removed = match listed_to {
            Some(end) => self.forget_unlisted(&batch.records, end),
            None => BTreeSet::new(),
        };
        let events = self.book.lock().apply(&batch, now);
        self.record_events(&events, now);
        removed.extend(events.into_iter().filter_map(|event| match event {
            EvacuationEvent::Ended {
                zone,
                cause: EndCause::NotListed,
            } => Some(zone),
            _ => None,
        }));
        let removals = removed.iter().map(|zone| KeyedRecord {
            key: evacuation_key(zone),
            value: None,
            // The store's own record of the removal has an offset before the end, whichever it is.
            offset: listed_to.unwrap_or_default().saturating_sub(1),
        });
        removals.collect()
    }

    /// The evacuation that `record` orders or ends; `None` for records of other kinds.
    fn read(&self, record: &KeyedRecord) -> Option<EvacuationRecord> {
        let zone = zone_of_evacuation_key(&record.key)?;
        let decoded = record
            .value
            .as_ref()
            .map(|value| decode_evacuation(&zone, value));
        let mut unreadable = self.unreadable.lock();
        let change = match decoded {
            Some(Err(error)) => {
                let logged = unreadable.insert(zone.clone(), record.offset);
                if logged != Some(record.offset) {
                    spdlog::error!("evacuation not applied: {}", error, kv: {
                        zone = zone.as_str(),
                        offset = record.offset,
                    });
                }
                EvacuationChange::Unreadable
            }
            Some(Ok(())) => {
                unreadable.remove(&zone);
                EvacuationChange::Begin
            }
            None => {
                unreadable.remove(&zone);
                EvacuationChange::End
            }
        };
        record_unreadable(unreadable.len());
        Some(EvacuationRecord {
            zone,
            offset: record.offset,
            change,
        })
    }

    /// Forgets the unreadable records before `end` whose keys are not among the `listed` ones, which are all up to there; returns their zones.
    fn forget_unlisted(&self, listed: &[EvacuationRecord], end: u64) -> BTreeSet<ZoneName> {
        let mut unreadable = self.unreadable.lock();
        let is_listed = |zone: &ZoneName| listed.iter().any(|record| record.zone == *zone);
        let unlisted = unreadable.extract_if(.., |zone, offset| *offset < end && !is_listed(zone));
        let zones = unlisted.map(|(zone, _)| zone).collect();
        record_unreadable(unreadable.len());
        zones
    }

    /// Keeps the evacuations that another router keeps although the store lacks their records, as far as nothing is known of their zones here.
    pub fn learn_kept(&self, kept: &[KeptEvacuation], now: MonotonicTime) {
        for kept in kept {
            if self.book.lock().learn_kept(kept, now) {
                let event = EvacuationEvent::Kept {
                    zone: kept.zone.clone(),
                    left: Duration::from_millis(kept.left_ms),
                };
                self.record_events(&[event], now);
            }
        }
    }

    /// The evacuations that are kept here although the store lacks their records.
    pub fn all_kept(&self, now: MonotonicTime) -> Vec<KeptEvacuation> {
        self.book.lock().all_kept(now)
    }

    /// Records what another router states of evacuations that are in force or ended less than `longest` ago.
    pub fn learn_recent(&self, recent: &[RecentEvacuation], longest: Duration, now: MonotonicTime) {
        if !recent.is_empty() {
            self.book.lock().learn_recent(recent, longest, now);
        }
    }

    /// The evacuations that are in force or ended less than `longest` ago.
    pub fn recent(&self, longest: Duration, now: MonotonicTime) -> Vec<RecentEvacuation> {
        self.book.lock().recent(longest, now)
    }

    /// Records that another router stated all evacuations that had just ended.
    pub fn record_informed(&self) {
        self.is_informed.store(true, Ordering::Release);
    }

    /// Whether another router stated them.
    pub fn is_informed(&self) -> bool {
        self.is_informed.load(Ordering::Acquire)
    }

    /// Whether nothing may be sent to upstreams in `zone`.
    pub fn is_evacuated(&self, zone: &ZoneName, now: MonotonicTime) -> bool {
        self.book.lock().is_evacuated(zone, now)
    }

    /// Whether no zone is known that is or was evacuated.
    pub fn is_empty(&self) -> bool {
        self.book.lock().is_empty()
    }

    /// The evacuated zones, sorted by name.
    pub fn zones(&self, now: MonotonicTime) -> Vec<ZoneName> {
        self.book.lock().evacuated(now).cloned().collect()
    }

    /// Time since the evacuation of `zone` ended; `None` while it is evacuated, and if nothing is known of an end.
    pub fn ended_age(&self, zone: &ZoneName, now: MonotonicTime) -> Option<Duration> {
        self.book.lock().ended_age(zone, now)
    }

    /// Counts a send that was held back because the zone of its upstream is evacuated.
    pub fn count_held_send(&self) {
        metrics::counter!(HELD_METRIC).increment(1);
    }

    /// Ends evacuations that have lapsed, and removes those whose end makes no upstream cold any more, `longest` after it at the latest.
    fn expire(&self, longest: Duration, now: MonotonicTime) {
        let mut book = self.book.lock();
        let events = book.expire(now);
        book.remove_ended(longest, now);
        drop(book);
        self.record_events(&events, now);
    }

    /// Logs what changed, and shows the number of evacuated zones.
    fn record_events(&self, events: &[EvacuationEvent], now: MonotonicTime) {
        events.iter().for_each(log_event);
        if !events.is_empty() {
            metrics::gauge!(ZONES_METRIC).set(self.zones(now).len() as f64);
        }
    }
}

/// Ends evacuations that the store's new era does not name in time, and removes old ends, until the relay closes.
pub async fn expire(core: SharedCore) {
    metrics::gauge!(ZONES_METRIC).set(core.evacuations.zones(core.clock.now()).len() as f64);
    let mut checks = ticks::every(EXPIRY_PERIOD);
    loop {
        checks.tick().await;
        core.evacuations
            .expire(longest_cold_start(&core), core.clock.now());
    }
}

/// Sets the number of zones whose newest record cannot be read.
fn record_unreadable(count: usize) {
    metrics::gauge!(UNREADABLE_METRIC, "kind" => "evacuation").set(count as f64);
}

fn log_event(event: &EvacuationEvent) {
    match event {
        EvacuationEvent::Began { zone, offset } => {
            spdlog::warn!("evacuation of a zone in force", kv: { zone = zone.as_str(), offset = *offset });
        }
        EvacuationEvent::Confirmed { zone, offset } => {
            spdlog::info!("evacuation confirmed in the store's new era", kv: { zone = zone.as_str(), offset = *offset });
        }
        EvacuationEvent::Kept { zone, left } => {
            spdlog::warn!("evacuation kept without a record", kv: { zone = zone.as_str(), left_ms = left.as_millis() as u64 });
        }
        EvacuationEvent::Ended { zone, cause } => {
            spdlog::warn!("evacuation of a zone ended", kv: { zone = zone.as_str(), cause:? = cause });
        }
    }
}
