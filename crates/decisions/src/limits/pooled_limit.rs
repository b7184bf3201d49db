//! Limit of one workspace over the whole fleet.
//!
//! Each router runs a token bucket over the demand of all routers, and while that bucket is empty
//! admits the fraction `limit / demand` of its own part. Since demand is counted before refusals,
//! refusing does not change it, and the fraction does not oscillate. The bucket is larger than the
//! burst by what the limit permits while counts travel; therefore a workspace whose requests keep
//! to the limit is never refused as long as counts are at most that late.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{OfferedCount, PooledDemand};

/// Time constant of the demand's rate.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Part of a token that sums of floating-point numbers may be off by.
const ROUNDING: f64 = 1e-6;

/// A limit on one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitConfig {
    /// Requests per second over the whole fleet; positive.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
    /// Longest time that a peer's count may be late, in milliseconds.
    pub count_delay_ms: u64,
}

impl LimitConfig {
    /// Size of the bucket: the burst, and what the limit permits while counts travel.
    fn bucket_size(&self) -> f64 {
        self.burst + self.permitted_in_delay()
    }

    /// Deepest debt: peers' counts come in lumps, and refilling between two lumps must not look
    /// like room.
    fn deepest_debt(&self) -> f64 {
        self.permitted_in_delay().max(1.0)
    }

    fn permitted_in_delay(&self) -> f64 {
        self.rate * self.count_delay_ms as f64 / 1_000.0
    }
}

/// A refusal since the workspace is beyond its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the workspace is beyond its limit; send less, or again after {retry_after:?}")]
pub struct LimitRefusal {
    /// Time after which the demand is within the limit if the workspace pauses.
    pub retry_after: Duration,
}

/// State that one router keeps for one limited workspace.
#[derive(Debug, Clone)]
pub struct PooledLimit {
    config: LimitConfig,
    demand: PooledDemand,
    /// Tokens left, at most the size of the bucket; negative while demand ran ahead of the limit.
    tokens: f64,
    /// Time up to which tokens were added.
    filled_to: Duration,
    /// Part of a request that is admitted but not used yet, from 0 to 1.
    credit: f64,
}

impl PooledLimit {
    /// A full bucket at `now`.
    pub fn new(config: LimitConfig, now: Duration) -> Self {
        Self {
            config,
            demand: PooledDemand::new(RATE_WINDOW),
            tokens: config.bucket_size(),
            filled_to: now,
            credit: 0.0,
        }
    }

    /// Demand over all routers.
    pub fn demand(&self) -> &PooledDemand {
        &self.demand
    }

    /// Takes over a changed limit; tokens beyond the new bucket are lost.
    pub fn set_config(&mut self, config: LimitConfig) {
        self.config = config;
        self.tokens = self.tokens.min(config.bucket_size());
    }

    /// Counts and judges one request that this router is offered.
    ///
    /// # Errors
    ///
    /// Fails when the workspace is beyond its limit and this request is in the refused fraction.
    pub fn offer(&mut self, now: Duration) -> Result<(), LimitRefusal> {
        self.demand.offer(now);
        if self.take(now, 1.0) {
            return Ok(());
        }
        self.credit += self.fraction(now);
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return Ok(());
        }
        let rate = self.demand.rate(now);
        Err(LimitRefusal {
            retry_after: self.demand.time_to_fall(rate, self.config.rate),
        })
    }

    /// Takes over a peer's count.
    pub fn merge(&mut self, now: Duration, count: OfferedCount) {
        let fresh = self.demand.merge(now, count);
        self.take(now, fresh as f64);
    }

    /// Fraction of the requests that is admitted while the bucket is empty, from 0 to 1.
    pub fn fraction(&self, now: Duration) -> f64 {
        let rate = self.demand.rate(now);
        if rate <= self.config.rate {
            1.0
        } else {
            self.config.rate / rate
        }
    }

    /// Takes `amount` tokens; false, and down to the deepest debt, when there are fewer.
    ///
    /// The debt ends once the demand is back within the limit.
    fn take(&mut self, now: Duration, amount: f64) -> bool {
        let added = now.saturating_sub(self.filled_to).as_secs_f64() * self.config.rate;
        self.tokens = (self.tokens + added).min(self.config.bucket_size());
        self.filled_to = self.filled_to.max(now);
        if self.demand.rate(now) <= self.config.rate {
            self.tokens = self.tokens.max(0.0);
        }
        let enough = self.tokens + ROUNDING >= amount;
        self.tokens = (self.tokens - amount).max(-self.config.deepest_debt());
        enough
    }
}
