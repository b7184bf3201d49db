//! Baseline: the admitted fraction follows from what was admitted, so it acts on its own effect.

use std::time::Duration;

use ferry_decisions::limits::{OfferedCount, PooledDemand};

/// Time constant of the rate estimate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// State of one router.
#[derive(Debug, Clone)]
pub(super) struct AchievedLimit {
    rate: f64,
    /// Admitted requests of all routers.
    admitted: PooledDemand,
    /// Part of a request that is admitted but not used yet.
    credit: f64,
}

impl AchievedLimit {
    /// Nothing admitted so far.
    pub(super) fn new(rate: f64) -> Self {
        Self {
            rate,
            admitted: PooledDemand::new(RATE_WINDOW),
            credit: 0.0,
        }
    }

    /// Whether one more request is admitted.
    pub(super) fn offer(&mut self, now: Duration) -> bool {
        self.credit += (self.rate / self.admitted.rate(now).max(f64::EPSILON)).min(1.0);
        let admitted = self.credit >= 1.0;
        if admitted {
            self.credit -= 1.0;
            self.admitted.offer(now);
        }
        admitted
    }

    /// Requests that this router admitted.
    pub(super) fn own_total(&self) -> u64 {
        self.admitted.own_total()
    }

    /// Takes over a peer's count.
    pub(super) fn merge(&mut self, now: Duration, count: OfferedCount) {
        self.admitted.merge(now, count);
    }
}
