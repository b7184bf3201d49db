//! Spread of the configuration records that were folded lately or asked about.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_decisions::lease::{PeerStatement, PropagationTracker};
use ferry_decisions::time::MonotonicTime;

/// Most records followed at once; the one followed longest is dropped first.
const TRACKER_LIMIT: usize = 64;

/// Trackers by offset.
#[derive(Debug)]
pub struct SpreadTable {
    freshness: Duration,
    /// Oldest first; at most [`TRACKER_LIMIT`].
    trackers: VecDeque<(u64, PropagationTracker)>,
}

impl SpreadTable {
    /// A table that follows no record.
    pub fn new(freshness: Duration) -> Self {
        Self {
            freshness,
            trackers: VecDeque::new(),
        }
    }

    /// Tells every tracker of a statement that arrived at `now`.
    pub fn observe(&mut self, now: MonotonicTime, statement: &PeerStatement) {
        for (_, tracker) in &mut self.trackers {
            tracker.observe(now, statement);
        }
    }

    /// Whether the record at `offset` is followed.
    pub fn follows(&self, offset: u64) -> bool {
        self.trackers.iter().any(|(known, _)| *known == offset)
    }

    /// Starts to follow the record at `offset`.
    pub fn follow(&mut self, offset: u64) {
        if self.trackers.len() == TRACKER_LIMIT {
            self.trackers.pop_front();
        }
        let tracker = PropagationTracker::new(offset, self.freshness);
        self.trackers.push_back((offset, tracker));
    }

    /// Tracker of the record at `offset`.
    pub fn tracker(&mut self, offset: u64) -> Option<&mut PropagationTracker> {
        let mut trackers = self.trackers.iter_mut();
        trackers
            .find(|(known, _)| *known == offset)
            .map(|(_, tracker)| tracker)
    }
}
