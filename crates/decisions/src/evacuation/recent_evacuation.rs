//! When zones were last evacuated, as routers tell each other.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::ZoneName;
use crate::time::MonotonicTime;

/// An evacuation that is in force or has ended a short time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentEvacuation {
    /// The zone.
    pub zone: ZoneName,
    /// Time since its end, in milliseconds; 0 while it is in force.
    pub ended_ms: u64,
}

/// Ends of evacuations that other routers stated.
#[derive(Debug, Default)]
pub(super) struct HeardEnds {
    zones: BTreeMap<ZoneName, MonotonicTime>,
}

impl HeardEnds {
    /// Records a statement received at `now`; ignored if an end of the zone is known.
    ///
    /// A further statement about a zone changes nothing: each router that passes an end on adds the delay of its message, and routers that pass it to one
    /// another would prolong the cold time without end.
    pub(super) fn learn(&mut self, recent: &RecentEvacuation, now: MonotonicTime) {
        if self.zones.contains_key(&recent.zone) {
            return;
        }
        let ended_at = now.before(Duration::from_millis(recent.ended_ms));
        self.zones.insert(recent.zone.clone(), ended_at);
    }

    /// When the evacuation of `zone` ended; `None` if no router stated an end.
    pub(super) fn ended_at(&self, zone: &ZoneName) -> Option<MonotonicTime> {
        self.zones.get(zone).copied()
    }

    /// The zones with the times of their ends.
    pub(super) fn all(&self) -> impl Iterator<Item = (&ZoneName, MonotonicTime)> {
        self.zones.iter().map(|(zone, at)| (zone, *at))
    }

    /// Removes the ends that are at least `age` old.
    pub(super) fn remove_older(&mut self, age: Duration, now: MonotonicTime) {
        self.zones.retain(|_, at| now.since(*at) < age);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}
