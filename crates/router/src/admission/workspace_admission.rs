//! Rate limit and retry budget of one workspace.

use std::time::Duration;

use ferry_decisions::config::RateLimit;
use ferry_decisions::limits::{LimitConfig, LimitRefusal, PooledLimit};
use ferry_decisions::retry::{RetryBudget, RetryBudgetConfig};

/// Longest expected delay of a peer's count, in milliseconds.
const COUNT_DELAY_MS: u64 = 1_000;

/// Admission state of one workspace.
#[derive(Debug)]
pub struct WorkspaceAdmission {
    /// Budget for retries of its requests.
    pub budget: RetryBudget,
    /// Rate limit over the whole fleet; `None` when the workspace has none.
    pub limit: Option<PooledLimit>,
    config: Option<LimitConfig>,
}

impl Default for WorkspaceAdmission {
    fn default() -> Self {
        Self {
            budget: RetryBudget::new(RetryBudgetConfig::default()),
            limit: None,
            config: None,
        }
    }
}

impl WorkspaceAdmission {
    /// Counts one request and checks it against `limit`, the currently configured limit.
    ///
    /// # Errors
    ///
    /// Fails when the workspace is over its limit.
    pub fn check_limit(
        &mut self,
        now: Duration,
        limit: Option<&RateLimit>,
    ) -> Result<(), LimitRefusal> {
        self.budget.record_new_request();
        self.update_config(now, limit.map(limit_config));
        match &mut self.limit {
            Some(limit) => limit.offer(now),
            None => Ok(()),
        }
    }

    fn update_config(&mut self, now: Duration, config: Option<LimitConfig>) {
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
