//! Baseline limit that derives the admitted fraction from the admitted requests.
//!
//! The limit thereby reacts to its own refusals, unlike one that counts offered requests.

use std::time::Duration;

use ferry_decisions::limits::{OfferedCount, PooledDemand};

/// Time constant of the rate estimate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// State of the limit on one router.
#[derive(Debug, Clone)]
pub(super) struct AdmittedLimit {
    rate: f64,
    /// Admitted requests of all routers.
    admitted: PooledDemand,
    /// Accumulated fraction of a request that may be admitted; a request is admitted at 1.
    credit: f64,
}

impl AdmittedLimit {
    /// Creates a limit of `rate` requests per second with no admitted requests.
    pub(super) fn new(rate: f64) -> Self {
        Self {
            rate,
            admitted: PooledDemand::new(RATE_WINDOW),
            credit: 0.0,
        }
    }

    /// Decides whether a request that arrives at `now` is admitted, and counts it if so.
    pub(super) fn offer(&mut self, now: Duration) -> bool {
        self.credit += (self.rate / self.admitted.rate(now).max(f64::EPSILON)).min(1.0);
        let admitted = self.credit >= 1.0;
        if admitted {
            self.credit -= 1.0;
            self.admitted.offer(now);
        }
        admitted
    }

    /// Number of requests that this router has admitted.
    pub(super) fn own_total(&self) -> u64 {
        self.admitted.own_total()
    }

    /// Merges the count of a peer.
    pub(super) fn merge(&mut self, now: Duration, count: OfferedCount) {
        self.admitted.merge(now, count);
    }
}
