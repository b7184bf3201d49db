//! Log lines when a part of the store becomes unavailable and when it is available again.

use ferry_platform::store::StoreError;

/// Tracks whether calls to a part of the store fail; logs one line on each change.
#[derive(Debug)]
pub struct OutageLog {
    /// Message of the first failure, followed by the error.
    failure_message: &'static str,
    /// Message of the first success after a failure.
    recovery_message: &'static str,
    failing: bool,
}

impl OutageLog {
    /// Creates the log of a part of the store that counts as available.
    pub fn new(failure_message: &'static str, recovery_message: &'static str) -> Self {
        Self {
            failure_message,
            recovery_message,
            failing: false,
        }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Records that a call failed with `error`.
    pub fn record_failure(&mut self, error: &StoreError) {
        if !std::mem::replace(&mut self.failing, true) {
            spdlog::warn!("{}: {}", self.failure_message, error);
        }
    }

    /// Records that a call succeeded.
    pub fn record_success(&mut self) {
        if std::mem::take(&mut self.failing) {
            spdlog::info!("{}", self.recovery_message);
        }
    }
}
