//! Propagation of the configuration records that were folded recently or queried.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_decisions::lease::{PeerStatement, PropagationTracker};
use ferry_decisions::time::MonotonicTime;

/// Maximum number of records tracked at once; the oldest tracker is dropped first.
const TRACKER_LIMIT: usize = 64;

/// Propagation trackers by record offset.
#[derive(Debug)]
pub struct PropagationTable {
    freshness: Duration,
    /// Oldest first; at most [`TRACKER_LIMIT`].
    trackers: VecDeque<(u64, PropagationTracker)>,
}

impl PropagationTable {
    /// Creates a table that tracks no record.
    pub fn new(freshness: Duration) -> Self {
        Self {
            freshness,
            trackers: VecDeque::new(),
        }
    }

    /// Passes a statement that arrived at `now` to every tracker.
    pub fn observe(&mut self, now: MonotonicTime, statement: &PeerStatement) {
        for (_, tracker) in &mut self.trackers {
            tracker.observe(now, statement);
        }
    }

    /// Whether the record at `offset` is tracked.
    pub fn is_tracked(&self, offset: u64) -> bool {
        self.trackers.iter().any(|(known, _)| *known == offset)
    }

    /// Starts tracking the record at `offset`.
    pub fn track(&mut self, offset: u64) {
        if self.trackers.len() == TRACKER_LIMIT {
            self.trackers.pop_front();
        }
        let tracker = PropagationTracker::new(offset, self.freshness);
        self.trackers.push_back((offset, tracker));
    }

    /// Tracker of the record at `offset`; `None` if the record is not tracked.
    pub fn tracker(&mut self, offset: u64) -> Option<&mut PropagationTracker> {
        let mut trackers = self.trackers.iter_mut();
        trackers
            .find(|(known, _)| *known == offset)
            .map(|(_, tracker)| tracker)
    }
}
