//! Limit kept by each router alone: a plain token bucket with the router's part of the limit.

use std::time::Duration;

/// Token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalLimit {
    /// Requests per second.
    rate: f64,
    /// Most tokens.
    burst: f64,
    tokens: f64,
    filled_to: Duration,
}

impl LocalLimit {
    /// A full bucket at `now` with one of `routers` equal parts of the limit.
    pub fn part_of(rate: f64, burst: f64, routers: u32, now: Duration) -> Self {
        let parts = f64::from(routers.max(1));
        let burst = (burst / parts).max(1.0);
        Self {
            rate: rate / parts,
            burst,
            tokens: burst,
            filled_to: now,
        }
    }

    /// Whether one more request at `now` is within the part.
    pub fn offer(&mut self, now: Duration) -> bool {
        let added = now.saturating_sub(self.filled_to).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(self.burst);
        self.filled_to = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}
