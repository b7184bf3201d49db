//! The permits that this router issues to all routers.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::limits::{RejectionGuard, UpstreamLimiter};
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;

use super::StatedLimits;

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
    /// Absent while the upstream names no requests per second.
    limiter: Option<UpstreamLimiter>,
    rejections: RejectionGuard,
    asked_at: MonotonicTime,
}

impl PermitIssuer {
    /// Issues a permit to send to `upstream`, which stated the limits `stated`.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none.
    pub fn issue(
        &mut self,
        upstream: &UpstreamIncarnation,
        stated: StatedLimits,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        let permits = self.permits(upstream, now);
        if let Some(survived) = stated.rejections {
            permits.rejections.take(survived, now)?;
        }
        let Some(per_second) = stated.per_second else {
            permits.limiter = None;
            return Ok(());
        };
        let per_second = per_second * ISSUED_FRACTION;
        let limiter = permits
            .limiter
            .get_or_insert_with(|| UpstreamLimiter::new(per_second, now));
        limiter.set_rate(per_second, now);
        limiter.take(now)
    }

    /// Records that `upstream` rejected a request for want of room.
    pub fn record_rejection(&mut self, upstream: &UpstreamIncarnation, now: MonotonicTime) {
        self.permits(upstream, now).rejections.record_rejection(now);
    }

    /// The permits of `upstream`; forgets those for which nobody asks.
    fn permits(
        &mut self,
        upstream: &UpstreamIncarnation,
        now: MonotonicTime,
    ) -> &mut IssuedPermits {
        self.buckets
            .retain(|_, permits| now.since(permits.asked_at) < IDLE_MEMORY);
        let permits = self.buckets.entry(upstream.clone());
        let permits = permits.or_insert_with(|| IssuedPermits {
            limiter: None,
            rejections: RejectionGuard::default(),
            asked_at: now,
        });
        permits.asked_at = now;
        permits
    }
}
