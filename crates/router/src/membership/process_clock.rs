//! Monotonic clock of this process, with the time type that the decisions use.

use std::time::Duration;

use ferry_decisions::time::MonotonicTime;
use tokio::time::Instant;

/// Clock whose origin is the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Creates a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Time since the start of the process.
    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Current time on this clock.
    pub fn now(&self) -> MonotonicTime {
        let micros = self.origin.elapsed().as_micros();
        MonotonicTime(i64::try_from(micros).unwrap_or(i64::MAX))
    }
}
