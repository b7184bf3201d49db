//! What is known of a service whose upstreams say that they are brittle.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time after the last answer that said so after which the service counts as sound.
const STATEMENT_MEMORY: Duration = Duration::from_secs(60);

/// A service whose upstreams are brittle. It outlives their processes: a new one is taken for brittle until it answers otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrittleService {
    /// Rejections in a second that an upstream survives, by the last answer that stated it.
    pub survived: u32,
    /// When an upstream first said so.
    pub since: MonotonicTime,
    /// When an upstream last said so.
    pub heard_at: MonotonicTime,
}

impl BrittleService {
    /// Merges what is known elsewhere, or was heard now.
    pub fn merge(&mut self, other: &Self) {
        if other.heard_at > self.heard_at {
            self.survived = other.survived;
            self.heard_at = other.heard_at;
        }
        self.since = self.since.min(other.since);
    }

    /// Whether no upstream has said so for a long time.
    pub fn is_expired(&self, now: MonotonicTime) -> bool {
        now.since(self.heard_at) >= STATEMENT_MEMORY
    }
}
