//! This process's monotonic clock in the form that decisions take.

use std::time::Duration;

use ferry_decisions::time::MonotonicTime;
use tokio::time::Instant;

/// Clock whose origin is the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Time since the start of the process.
    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The present time.
    pub fn now(&self) -> MonotonicTime {
        let micros = self.origin.elapsed().as_micros();
        MonotonicTime(i64::try_from(micros).unwrap_or(i64::MAX))
    }
}
