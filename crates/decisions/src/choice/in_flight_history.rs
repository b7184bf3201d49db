//! Number of requests in flight over the last seconds, to compare with a load report that was
//! taken some time ago.

use std::time::Duration;

use super::RankMix;
use crate::admission::QueueRank;

/// Requests in flight by rank, lowest rank first.
pub type RankCounts = [u32; QueueRank::COUNT];

/// Length of a time slot, which is the time resolution of the history.
const SLOT: Duration = Duration::from_millis(100);
/// Number of time slots kept; reports up to 6.4 s old can be corrected.
const SLOTS: usize = 64;

/// Number of requests in flight on one upstream, now and in the recent past.
#[derive(Debug, Clone)]
pub struct InFlightHistory {
    /// Requests in flight at the end of each time slot; slot `n` is at index `n % SLOTS`.
    counts: [u32; SLOTS],
    /// Time slot that `current` belongs to.
    slot: u64,
    /// Requests in flight now.
    current: RankCounts,
}

impl Default for InFlightHistory {
    fn default() -> Self {
        Self {
            counts: [0; SLOTS],
            slot: 0,
            current: RankCounts::default(),
        }
    }
}

impl InFlightHistory {
    /// Counts one dispatched request of rank `rank`.
    pub fn begin(&mut self, now: Duration, rank: QueueRank) {
        self.advance(now);
        self.current[rank.index()] += 1;
        self.store();
    }

    /// Removes one ended request of rank `rank` from the count.
    pub fn end(&mut self, now: Duration, rank: QueueRank) {
        self.advance(now);
        let count = &mut self.current[rank.index()];
        *count = count.saturating_sub(1);
        self.store();
    }

    /// Replaces the current counts by `counts`, as other routers reported them.
    pub fn set(&mut self, now: Duration, counts: RankCounts) {
        self.advance(now);
        self.current = counts;
        self.store();
    }

    /// Total number of requests in flight now.
    pub fn current(&self) -> u32 {
        self.current.iter().sum()
    }

    /// Number of requests in flight now by rank, lowest rank first.
    pub fn by_rank(&self) -> RankCounts {
        self.current
    }

    /// Number of requests in flight now that rank below, equal to and above `rank`.
    pub fn mix_relative_to(&self, rank: QueueRank) -> RankMix {
        let (lower, rest) = self.current.split_at(rank.index());
        RankMix {
            lower: lower.iter().sum(),
            same: rest[0],
            higher: rest[1..].iter().sum(),
        }
    }

    /// Number of requests in flight at `time`, or at the oldest time kept if `time` is earlier.
    pub fn at(&self, time: Duration) -> u32 {
        let slot = slot_of(time);
        if slot >= self.slot {
            return self.current();
        }
        let oldest = self.slot.saturating_sub(SLOTS as u64 - 1);
        self.counts[index_of(slot.max(oldest))]
    }

    /// Moves to the slot of `now` and fills the slots in between with the current count.
    fn advance(&mut self, now: Duration) {
        let (count, target) = (self.current(), slot_of(now).max(self.slot));
        let first = (self.slot + 1).max(target.saturating_sub(SLOTS as u64 - 1));
        for slot in first..=target {
            self.counts[index_of(slot)] = count;
        }
        self.slot = target;
    }

    fn store(&mut self) {
        self.counts[index_of(self.slot)] = self.current();
    }
}

fn slot_of(time: Duration) -> u64 {
    (time.as_millis() / SLOT.as_millis()) as u64
}

fn index_of(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}
