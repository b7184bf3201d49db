//! Permits for the requests that an upstream takes from all routers together.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Permits that are kept while nobody asks for one.
const CAPACITY: f64 = 2.0;
/// Lowest rate at which permits are issued, per second, so that an upstream that takes none is asked from time to time.
const MIN_RATE: f64 = 0.05;
/// Time for which a router that asked counts among those that want permits.
const ASKER_MEMORY: Duration = Duration::from_secs(2);

/// Token bucket with the limit of one upstream. Empty at first, so that one that replaces another issues no permits twice.
#[derive(Debug, Clone)]
pub struct UpstreamLimiter {
    /// Permits per second.
    rate: f64,
    /// Permits that are kept while nobody asks for one.
    capacity: f64,
    tokens: f64,
    filled_to: MonotonicTime,
    /// Decaying count of the permits that were asked for within [`ASKER_MEMORY`].
    asked: f64,
}

impl UpstreamLimiter {
    /// An empty bucket for a limit of `rate` requests per second.
    pub fn new(rate: f64, now: MonotonicTime) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            capacity: CAPACITY,
            tokens: 0.0,
            filled_to: now,
            asked: 0.0,
        }
    }

    /// Changes the limit to `rate` requests per second from `now` on.
    pub fn set_rate(&mut self, rate: f64, now: MonotonicTime) {
        self.set_limit(rate, CAPACITY, now);
    }

    /// The same, with `capacity` as the number of permits that are kept, two at most.
    pub fn set_limit(&mut self, rate: f64, capacity: f64, now: MonotonicTime) {
        self.fill(now);
        self.rate = rate.max(MIN_RATE);
        self.capacity = capacity.min(CAPACITY);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none.
    pub fn take(&mut self, now: MonotonicTime) -> Result<(), Duration> {
        self.fill(now);
        self.asked += 1.0;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        // Those that ask share the permits, so that each of them asks about once for a permit of its own.
        let wanted = (self.asked / (self.rate * ASKER_MEMORY.as_secs_f64())).max(1.0);
        Err(Duration::from_secs_f64(missing * wanted / self.rate))
    }

    fn fill(&mut self, now: MonotonicTime) {
        let passed = now.since(self.filled_to).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.capacity);
        self.asked *= (-passed / ASKER_MEMORY.as_secs_f64()).exp();
        self.filled_to = self.filled_to.max(now);
    }
}
