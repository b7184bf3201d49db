//! Requests in flight over the last seconds, to line them up with a lagging report.

use std::time::Duration;

/// Duration of one slot.
const SLOT: Duration = Duration::from_millis(100);
/// Slots kept: reports up to 6.4 s old can be corrected.
const SLOTS: usize = 64;

/// Number of requests in flight on one upstream, now and in the recent past.
#[derive(Debug, Clone)]
pub struct FlightHistory {
    /// Requests in flight at the end of each slot; slot `n` is at index `n % SLOTS`.
    counts: [u32; SLOTS],
    /// The slot that `current` belongs to.
    slot: u64,
    /// Requests in flight now.
    current: u32,
}

impl Default for FlightHistory {
    fn default() -> Self {
        Self {
            counts: [0; SLOTS],
            slot: 0,
            current: 0,
        }
    }
}

impl FlightHistory {
    /// Counts one dispatched request.
    pub fn begin(&mut self, now: Duration) {
        self.advance(now);
        self.current += 1;
        self.store();
    }

    /// Counts one ended request.
    pub fn end(&mut self, now: Duration) {
        self.advance(now);
        self.current = self.current.saturating_sub(1);
        self.store();
    }

    /// Takes over a number that another router counted.
    pub fn set(&mut self, now: Duration, count: u32) {
        self.advance(now);
        self.current = count;
        self.store();
    }

    /// Requests in flight now.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Requests in flight at `time`, or at the oldest time that is kept.
    pub fn at(&self, time: Duration) -> u32 {
        let slot = slot_of(time);
        if slot >= self.slot {
            return self.current;
        }
        let oldest = self.slot.saturating_sub(SLOTS as u64 - 1);
        self.counts[index_of(slot.max(oldest))]
    }

    /// Fills the slots up to `now` with the present number.
    fn advance(&mut self, now: Duration) {
        let target = slot_of(now).max(self.slot);
        let first = (self.slot + 1).max(target.saturating_sub(SLOTS as u64 - 1));
        for slot in first..=target {
            self.counts[index_of(slot)] = self.current;
        }
        self.slot = target;
    }

    fn store(&mut self) {
        self.counts[index_of(self.slot)] = self.current;
    }
}

fn slot_of(time: Duration) -> u64 {
    (time.as_millis() / SLOT.as_millis()) as u64
}

fn index_of(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}
