//! Limit and retry budget of one workspace.

use std::time::Duration;

use ferry_decisions::config::RateLimit;
use ferry_decisions::limits::{LimitConfig, LimitRefusal, PooledLimit};
use ferry_decisions::retry::{RetryBudget, RetryBudgetConfig};

/// Longest time that a peer's count may be late, in milliseconds.
const COUNT_DELAY_MS: u64 = 1_000;

/// State that this router keeps for one workspace.
#[derive(Debug)]
pub struct WorkspaceIntake {
    /// Retries that the workspace may cause.
    pub budget: RetryBudget,
    /// Its limit over the whole fleet; `None` when it has none.
    pub limit: Option<PooledLimit>,
    config: Option<LimitConfig>,
}

impl Default for WorkspaceIntake {
    fn default() -> Self {
        Self {
            budget: RetryBudget::new(RetryBudgetConfig::default()),
            limit: None,
            config: None,
        }
    }
}

impl WorkspaceIntake {
    /// Counts and judges one request under the limit that is published now.
    ///
    /// # Errors
    ///
    /// Fails when the workspace is beyond its limit.
    pub fn offer(&mut self, now: Duration, limit: Option<&RateLimit>) -> Result<(), LimitRefusal> {
        self.budget.record_new_request();
        self.follow(now, limit.map(limit_config));
        match &mut self.limit {
            Some(limit) => limit.offer(now),
            None => Ok(()),
        }
    }

    fn follow(&mut self, now: Duration, config: Option<LimitConfig>) {
        if config == self.config {
            return;
        }
        self.config = config;
        match (&mut self.limit, config) {
            (Some(limit), Some(config)) => limit.set_config(config),
            (limit, config) => *limit = config.map(|config| PooledLimit::new(config, now)),
        }
    }
}

fn limit_config(limit: &RateLimit) -> LimitConfig {
    LimitConfig {
        rate: limit.requests_per_second,
        burst: f64::from(limit.burst),
        count_delay_ms: COUNT_DELAY_MS,
    }
}
