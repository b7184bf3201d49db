//! Requests whose bills this router recently appended to one stream.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use ferry_decisions::claim::{READ_BACK_MS, RequestKey};
use tokio::time::Instant;

/// Maximum number of requests kept.
const KEY_LIMIT: usize = 16_384;
/// Time for which a request is kept.
const RETENTION: Duration = Duration::from_millis(READ_BACK_MS);

/// Set of recently billed requests, evicted by age and number.
#[derive(Debug, Default)]
pub(super) struct LoggedKeys {
    /// Exactly the keys in `order`, for look-ups.
    known: HashSet<RequestKey>,
    order: VecDeque<(Instant, RequestKey)>,
}

impl LoggedKeys {
    /// Whether a bill of `key` is known to be on the log.
    pub(super) fn contains(&self, key: &RequestKey) -> bool {
        self.known.contains(key)
    }

    /// Records that a bill of `key` is on the log.
    pub(super) fn insert(&mut self, key: RequestKey) {
        let now = Instant::now();
        if self.known.insert(key.clone()) {
            self.order.push_back((now, key));
        }
        self.evict(now);
    }

    fn evict(&mut self, now: Instant) {
        while let Some((inserted_at, _)) = self.order.front() {
            if self.order.len() <= KEY_LIMIT && now.duration_since(*inserted_at) < RETENTION {
                return;
            }
            if let Some((_, key)) = self.order.pop_front() {
                self.known.remove(&key);
            }
        }
    }
}
