//! The turns that this router gives to all routers.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::limits::UpstreamLimiter;
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;

/// Time after which the turns of an upstream for which nobody asks are forgotten.
const IDLE_MEMORY: Duration = Duration::from_secs(60);

/// Fraction of a limit that is given in turns. Two routers that both give them, since others reach only one of them, then stay within the bound of
/// one and a half times the limit.
const GIVEN_FRACTION: f64 = 0.75;

/// Buckets by upstream.
#[derive(Debug, Default)]
pub struct TurnGiver {
    buckets: HashMap<UpstreamIncarnation, GivenTurns>,
}

#[derive(Debug)]
struct GivenTurns {
    limiter: UpstreamLimiter,
    asked_at: MonotonicTime,
}

impl TurnGiver {
    /// Gives a turn to send to `upstream`, which takes `per_second` requests per second.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none.
    pub fn give(
        &mut self,
        upstream: &UpstreamIncarnation,
        per_second: f64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        self.buckets
            .retain(|_, turns| now.since(turns.asked_at) < IDLE_MEMORY);
        let per_second = per_second * GIVEN_FRACTION;
        let turns = self.buckets.entry(upstream.clone());
        let turns = turns.or_insert_with(|| GivenTurns {
            limiter: UpstreamLimiter::new(per_second, now),
            asked_at: now,
        });
        turns.asked_at = now;
        turns.limiter.set_rate(per_second, now);
        turns.limiter.take(now)
    }
}
