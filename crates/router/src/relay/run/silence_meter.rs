//! How long nothing was read of an answer.

use std::time::Duration;

use tokio::time::Instant;

/// Longest time between two pieces of an answer, as they were read here: from its request's send to its end.
#[derive(Debug, Clone, Copy)]
pub struct SilenceMeter {
    heard_at: Instant,
    longest: Duration,
}

impl SilenceMeter {
    /// A meter of an answer whose request is sent now.
    pub fn start() -> Self {
        Self {
            heard_at: Instant::now(),
            longest: Duration::ZERO,
        }
    }

    /// Records that a piece was read.
    pub fn record_piece(&mut self) {
        self.longest = self.longest();
        self.heard_at = Instant::now();
    }

    /// The longest time so far without a piece.
    pub fn longest(&self) -> Duration {
        self.longest.max(self.heard_at.elapsed())
    }
}
