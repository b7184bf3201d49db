//! Fleet-wide rate limit of one workspace.
//!
//! Each router runs a token bucket over the demand of all routers. While the bucket is empty, it
//! admits the fraction `limit / demand` of its own requests. Since demand is counted before
//! refusals, refusals do not change it, and the fraction does not oscillate. The bucket is larger
//! than the burst by the requests that the limit permits during the count delay; therefore a
//! workspace that stays within the limit is never refused as long as counts arrive within that
//! delay.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{OfferedCount, PooledDemand};

/// Time constant of the estimate of the demand rate.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Tolerance for floating-point rounding errors in the number of tokens.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Rate limit of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitConfig {
    /// Requests per second over all routers; positive.
    pub rate: f64,
    /// Requests that may arrive at the same time.
    pub burst: f64,
    /// Longest expected delay of a peer's count, in milliseconds.
    pub count_delay_ms: u64,
}

impl LimitConfig {
    /// Size of the bucket: the burst plus the requests that the limit permits during the count
    /// delay.
    fn bucket_size(&self) -> f64 {
        self.burst + self.permitted_in_delay()
    }

    /// Lower bound of the token balance, as a positive number. Peers' counts arrive in batches, and
    /// the refill between two batches must not be mistaken for spare capacity.
    fn max_debt(&self) -> f64 {
        self.permitted_in_delay().max(1.0)
    }

    fn permitted_in_delay(&self) -> f64 {
        self.rate * self.count_delay_ms as f64 / 1_000.0
    }
}

/// Refusal of a request because its workspace is beyond its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the workspace is beyond its limit; send less, or again after {retry_after:?}")]
pub struct LimitRefusal {
    /// Time after which the demand is within the limit if the workspace sends nothing until then.
    pub retry_after: Duration,
}

/// State of one router for one rate-limited workspace.
#[derive(Debug, Clone)]
pub struct PooledLimit {
    config: LimitConfig,
    demand: PooledDemand,
    /// Tokens left, at most the size of the bucket; negative while demand exceeds the limit.
    tokens: f64,
    /// Time up to which tokens were refilled.
    filled_to: Duration,
    /// Accumulated fraction of a request to admit while the bucket is empty, from 0 to 1.
    credit: f64,
}

impl PooledLimit {
    /// Creates a full bucket at `now`.
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

    /// Applies a changed limit; tokens beyond the new bucket size are lost.
    pub fn set_config(&mut self, config: LimitConfig) {
        self.config = config;
        self.tokens = self.tokens.min(config.bucket_size());
    }

    /// Records one request offered to this router and admits or refuses it.
    ///
    /// # Errors
    ///
    /// Fails when the workspace is beyond its limit and this request is in the refused fraction.
    pub fn offer(&mut self, now: Duration) -> Result<(), LimitRefusal> {
        self.demand.offer(now);
        if self.take_tokens(now, 1.0) {
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

    /// Applies a peer's count and takes tokens for its new requests.
    pub fn merge(&mut self, now: Duration, count: OfferedCount) {
        let fresh = self.demand.merge(now, count);
        self.take_tokens(now, fresh as f64);
    }

    /// Fraction of the requests to admit while the bucket is empty, from 0 to 1.
    pub fn fraction(&self, now: Duration) -> f64 {
        let rate = self.demand.rate(now);
        if rate <= self.config.rate {
            1.0
        } else {
            self.config.rate / rate
        }
    }

    /// Takes `amount` tokens and returns whether there were enough; the balance falls no lower than
    /// the maximum debt.
    ///
    /// A debt is cancelled once the demand is within the limit again.
    fn take_tokens(&mut self, now: Duration, amount: f64) -> bool {
        let added = now.saturating_sub(self.filled_to).as_secs_f64() * self.config.rate;
        self.tokens = (self.tokens + added).min(self.config.bucket_size());
        self.filled_to = self.filled_to.max(now);
        if self.demand.rate(now) <= self.config.rate {
            self.tokens = self.tokens.max(0.0);
        }
        let enough = self.tokens + ROUNDING_TOLERANCE >= amount;
        self.tokens = (self.tokens - amount).max(-self.config.max_debt());
        enough
    }
}
