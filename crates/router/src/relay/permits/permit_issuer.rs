//! The permits that this router issues to all routers.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::limits::UpstreamLimiter;
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;

/// Time after which the permits of an upstream for which nobody asks are forgotten.
const IDLE_MEMORY: Duration = Duration::from_secs(60);

/// Fraction of a limit that is issued as permits. Two routers that both issue them, since others reach only one of them, then stay within the bound of
/// one and a half times the limit.
const ISSUED_FRACTION: f64 = 0.75;

/// Buckets by upstream.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<UpstreamIncarnation, IssuedPermits>,
}

#[derive(Debug)]
struct IssuedPermits {
    limiter: UpstreamLimiter,
    asked_at: MonotonicTime,
}

impl PermitIssuer {
    /// Issues a permit to send to `upstream`, which takes `per_second` requests per second.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none.
    pub fn issue(
        &mut self,
        upstream: &UpstreamIncarnation,
        per_second: f64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        self.buckets
            .retain(|_, permits| now.since(permits.asked_at) < IDLE_MEMORY);
        let per_second = per_second * ISSUED_FRACTION;
        let permits = self.buckets.entry(upstream.clone());
        let permits = permits.or_insert_with(|| IssuedPermits {
            limiter: UpstreamLimiter::new(per_second, now),
            asked_at: now,
        });
        permits.asked_at = now;
        permits.limiter.set_rate(per_second, now);
        permits.limiter.take(now)
    }
}
