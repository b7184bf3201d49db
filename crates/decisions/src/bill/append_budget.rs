//! Limit on one router's appends: its share of the fleet's append rate.

use std::time::Duration;

use crate::claim::SHARD_COUNT;

/// Least rate of any router, in appends per second; applies also to a router that owns no shard.
const MIN_RATE: f64 = 1.0;
/// Size of the burst that is allowed after a pause, as the time that its appends take at the allowed
/// rate.
const BURST_TIME: Duration = Duration::from_millis(200);

/// Rate in appends per second of a router that owns `owned` shards, when the fleet may make `fleet`
/// appends per second.
pub fn append_rate(fleet: f64, owned: usize) -> f64 {
    (fleet * owned as f64 / f64::from(SHARD_COUNT)).max(MIN_RATE)
}

/// Rate limit on appends: the first append after a pause is immediate, the mean rate is bounded.
///
/// In any time `t` at most `1 + (t + BURST_TIME) * rate` appends are made. Times are durations since
/// any fixed point of the runtime's clock.
#[derive(Debug, Clone)]
pub struct AppendBudget {
    /// Time between appends at the allowed rate.
    interval: Duration,
    /// Time up to which the appends made so far use up the rate; at most one interval and the burst
    /// time ahead of the present.
    used_until: Duration,
}

impl AppendBudget {
    /// Creates a limit of `rate` appends per second.
    pub fn new(rate: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / rate),
            used_until: Duration::ZERO,
        }
    }

    /// Changes the rate; appends that were made before count at their former rate.
    pub fn set_rate(&mut self, rate: f64) {
        self.interval = Duration::from_secs_f64(1.0 / rate);
    }

    /// Time from `now` until the next append is allowed.
    pub fn wait(&self, now: Duration) -> Duration {
        self.used_until.saturating_sub(now + BURST_TIME)
    }

    /// Accounts for an append at `now` and returns true if it is allowed; otherwise changes nothing.
    pub fn take(&mut self, now: Duration) -> bool {
        if self.wait(now) > Duration::ZERO {
            return false;
        }
        self.used_until = self.used_until.max(now) + self.interval;
        true
    }
}
