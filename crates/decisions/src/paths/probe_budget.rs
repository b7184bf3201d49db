//! How many lost paths a router probes at a time.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Probes per second, whatever the number of lost paths.
const RATE: f64 = 16.0;
/// Probes that may be made at once after a time without any.
const BURST: f64 = 32.0;

/// Token bucket of the probes of one router. Many lost paths are most likely lost for the same reason, so that a few probes tell when it has
/// ended.
#[derive(Debug, Clone, Copy)]
pub struct ProbeBudget {
    tokens: f64,
    filled_to: MonotonicTime,
}

impl ProbeBudget {
    /// A full budget at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            tokens: BURST,
            filled_to: now,
        }
    }

    /// Takes up to `wanted` probes; returns how many there are.
    pub fn take(&mut self, wanted: usize, now: MonotonicTime) -> usize {
        self.fill(now);
        let taken = (self.tokens as usize).min(wanted);
        self.tokens -= taken as f64;
        taken
    }

    /// Time until the next probe can be taken.
    pub fn wait(&mut self, now: MonotonicTime) -> Duration {
        self.fill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / RATE)
    }

    fn fill(&mut self, now: MonotonicTime) {
        let passed = now.since(self.filled_to).as_secs_f64();
        self.tokens = (self.tokens + passed * RATE).min(BURST);
        self.filled_to = self.filled_to.max(now);
    }
}
