//! Share of one router in the fleet's budget of appends.

use std::time::Duration;

use crate::claim::SHARD_COUNT;

/// Appends a second that every router may make, also one that owns no shard.
const LEAST_RATE: f64 = 1.0;
/// Time whose appends may be made at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(200);

/// Appends a second of a router that owns `owned` shards, out of `fleet` appends a second.
pub fn append_rate(fleet: f64, owned: usize) -> f64 {
    (fleet * owned as f64 / f64::from(SHARD_COUNT)).max(LEAST_RATE)
}

/// Paces appends: the first one after a pause is immediate, the mean rate is bounded.
///
/// In any time `t` at most `1 + (t + BURST_TIME) * rate` appends are made. Time is given as the
/// duration since any fixed point of the runtime's clock.
#[derive(Debug, Clone)]
pub struct AppendBudget {
    /// Time between appends at the allowed rate.
    interval: Duration,
    /// Time up to which appends are paid for; at most one interval and the burst ahead.
    paid_until: Duration,
}

impl AppendBudget {
    /// A budget of `rate` appends a second.
    pub fn new(rate: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / rate),
            paid_until: Duration::ZERO,
        }
    }

    /// Changes the rate; appends that were made stay paid for.
    pub fn set_rate(&mut self, rate: f64) {
        self.interval = Duration::from_secs_f64(1.0 / rate);
    }

    /// Time from `now` until the next append is allowed.
    pub fn wait(&self, now: Duration) -> Duration {
        self.paid_until.saturating_sub(now + BURST_TIME)
    }

    /// Makes an append at `now` if it is allowed.
    pub fn take(&mut self, now: Duration) -> bool {
        if self.wait(now) > Duration::ZERO {
            return false;
        }
        self.paid_until = self.paid_until.max(now) + self.interval;
        true
    }
}
