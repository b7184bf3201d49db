//! Requests whose bills this router lately put on one stream.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use ferry_decisions::claim::{READ_BACK_MS, RequestKey};
use tokio::time::Instant;

/// Requests that are remembered at most.
const KEY_LIMIT: usize = 16_384;
/// Time for which a request is remembered.
const MEMORY: Duration = Duration::from_millis(READ_BACK_MS);

/// Keys in the order of their bills.
#[derive(Debug, Default)]
pub(super) struct LoggedKeys {
    /// Holds exactly the keys of `order`.
    known: HashSet<RequestKey>,
    order: VecDeque<(Instant, RequestKey)>,
}

impl LoggedKeys {
    /// Whether a bill of `key` is known to be on the log.
    pub(super) fn contains(&self, key: &RequestKey) -> bool {
        self.known.contains(key)
    }

    /// Remembers that a bill of `key` is on the log.
    pub(super) fn insert(&mut self, key: RequestKey) {
        let now = Instant::now();
        if self.known.insert(key.clone()) {
            self.order.push_back((now, key));
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Instant) {
        while let Some((since, _)) = self.order.front() {
            if self.order.len() <= KEY_LIMIT && now.duration_since(*since) < MEMORY {
                return;
            }
            if let Some((_, key)) = self.order.pop_front() {
                self.known.remove(&key);
            }
        }
    }
}
