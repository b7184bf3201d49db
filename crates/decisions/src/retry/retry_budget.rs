//! Retries that a workspace may cause, as a fraction of its fresh requests.

use serde::{Deserialize, Serialize};

/// Constants of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryBudgetConfig {
    /// Retries per fresh request over the long run.
    pub fraction: f64,
    /// Most retries that may be saved up; also the number at the start.
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

/// Token bucket of retries that fresh requests fill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    /// Retries left, from 0 to the reserve.
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            config,
            tokens: config.reserve,
        }
    }

    /// Counts a fresh request.
    pub fn fund(&mut self) {
        self.tokens = (self.tokens + self.config.fraction).min(self.config.reserve);
    }

    /// Whether a retry is covered.
    pub fn covers(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry out; false, with the budget unchanged, when it is not covered.
    pub fn spend(&mut self) -> bool {
        let covered = self.covers();
        if covered {
            self.tokens -= 1.0;
        }
        covered
    }
}
