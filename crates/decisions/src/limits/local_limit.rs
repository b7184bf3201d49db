//! Rate limit that each router enforces independently: a token bucket with the router's equal share
//! of the limit.

use std::time::Duration;

/// Token bucket of one router for one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalLimit {
    /// Refill rate, in requests per second.
    rate: f64,
    /// Capacity of the bucket, in requests.
    burst: f64,
    tokens: f64,
    filled_to: Duration,
}

impl LocalLimit {
    /// Creates a full bucket at `now` with one of `routers` equal shares of the limit.
    pub fn share_of(rate: f64, burst: f64, routers: u32, now: Duration) -> Self {
        let shares = f64::from(routers.max(1));
        let burst = (burst / shares).max(1.0);
        Self {
            rate: rate / shares,
            burst,
            tokens: burst,
            filled_to: now,
        }
    }

    /// Whether one more request at `now` is within the share; takes a token if it is.
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
