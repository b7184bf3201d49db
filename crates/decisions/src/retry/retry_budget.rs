//! Retry budget of a workspace, as a fraction of its new requests.

use serde::{Deserialize, Serialize};

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryBudgetConfig {
    /// Retries per new request in the long run.
    pub fraction: f64,
    /// Maximum number of retries that can accumulate; also the initial number.
    pub reserve: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            fraction: 0.1,
            reserve: 10.0,
        }
    }
}

/// Token bucket of retries, refilled by new requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    /// Retries left, from 0 to the reserve.
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            config,
            tokens: config.reserve,
        }
    }

    /// Records a new request, which adds `fraction` of a retry to the budget.
    pub fn record_new_request(&mut self) {
        self.tokens = (self.tokens + self.config.fraction).min(self.config.reserve);
    }

    /// Whether the budget covers a retry.
    pub fn covers(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one retry; returns `false` and leaves the budget unchanged if it does not cover one.
    pub fn spend(&mut self) -> bool {
        let covered = self.covers();
        if covered {
            self.tokens -= 1.0;
        }
        covered
    }
}
