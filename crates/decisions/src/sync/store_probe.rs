//! Reads of the store by a router that should not have to read it.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time between the first probes of two routers that follow each other in the order, for the first [`EARLY_PLACES`] places.
const EARLY_STEP: Duration = Duration::from_millis(250);
/// Number of places that probe early: one of them most likely reaches the store if others do.
const EARLY_PLACES: u32 = 3;
/// Time between two later probes of an availability zone, whatever the number of its routers.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Schedule of the probes while no source has recent content.
///
/// The routers of a zone probe one after the other, so that a store that is slow or small is not kept busy by them.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreProbe {
    /// When the last source with recent content was lost; absent while there is one.
    lacking_since: Option<MonotonicTime>,
    /// Time of the last probe since then.
    probed_at: Option<MonotonicTime>,
}

/// Place of a router among those of its availability zone that answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbePlace {
    /// Number of routers before it; 0 for the one that reads the store for the others.
    pub before: u32,
    /// Number of routers of the zone, including this one.
    pub routers: u32,
}

impl StoreProbe {
    /// Records at `now` that no source has recent content.
    pub fn begin(&mut self, now: MonotonicTime) {
        self.lacking_since.get_or_insert(now);
    }

    /// Records that a source, or the store itself, has given recent content.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// Whether no source has recent content.
    pub fn is_lacking(&self) -> bool {
        self.lacking_since.is_some()
    }

    /// When the router at `place` is to read the store; `None` while it need not.
    pub fn next_at(&self, place: ProbePlace) -> Option<MonotonicTime> {
        let lacking_since = self.lacking_since?;
        Some(match self.probed_at {
            None => lacking_since.after(first_delay(place.before)),
            Some(at) => at.after(PROBE_PERIOD * place.routers.max(1)),
        })
    }

    /// Records a probe at `now`; it has failed unless [`Self::end`] follows.
    pub fn record(&mut self, now: MonotonicTime) {
        self.probed_at = Some(now);
    }
}

fn first_delay(before: u32) -> Duration {
    let early = EARLY_STEP * before.min(EARLY_PLACES);
    early + PROBE_PERIOD * before.saturating_sub(EARLY_PLACES)
}
