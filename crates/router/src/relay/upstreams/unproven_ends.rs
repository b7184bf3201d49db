//! Answers whose end did not prove that they are complete, until it is known whether their upstream lived on.
//!
//! All connections of a process end with it. Data on a connection that was open before such an end, received well after it,
//! show that the process lived on; another process at its address shows that it did not.

use std::time::Duration;

use ferry_decisions::quarantine::RequestFingerprint;
use smallvec::SmallVec;
use tokio::time::Instant;

/// Time after an end from which received data prove survival; data that arrive sooner may have been sent before it.
const DATA_DELAY_LIMIT: Duration = Duration::from_millis(200);
/// Time after which an end without either proof is forgotten.
const RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of ends held; the oldest are dropped.
const END_LIMIT: usize = 64;

/// Answer that ended with its connection.
#[derive(Debug, Clone)]
pub struct UnprovenEnd {
    /// Request that was answered.
    pub request: RequestFingerprint,
    /// Parts of its prompt that other requests may share; none if the answer was not a success.
    pub parts: SmallVec<[u64; 4]>,
    /// When the connection ended.
    pub at: Instant,
}

/// Ends of one incarnation of an upstream, the oldest first.
#[derive(Debug, Default)]
pub struct UnprovenEnds {
    ends: Vec<UnprovenEnd>,
}

impl UnprovenEnds {
    /// Holds an end that is not proven yet.
    pub fn add(&mut self, end: UnprovenEnd) {
        self.ends.retain(|held| end.at - held.at < RETENTION);
        if self.ends.len() >= END_LIMIT {
            self.ends.remove(0);
        }
        self.ends.push(end);
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Takes the ends that the upstream survived, as data show that it sent at `now` on a connection opened at `opened_at`.
    pub fn take_survived(&mut self, opened_at: Instant, now: Instant) -> Vec<UnprovenEnd> {
        let is_survived =
            |end: &mut UnprovenEnd| opened_at <= end.at && end.at + DATA_DELAY_LIMIT <= now;
        self.ends.extract_if(.., is_survived).collect()
    }

    /// Takes all ends, since the process has ended at `now`.
    pub fn take_crashed(&mut self, now: Instant) -> Vec<UnprovenEnd> {
        let mut ends = std::mem::take(&mut self.ends);
        ends.retain(|end| now - end.at < RETENTION);
        ends
    }
}
