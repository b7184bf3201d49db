//! Choice of the next model after an answer whose own model doubts it.

use std::time::Duration;

/// Confidence from which on an answer is kept, of 100.
const KEPT_CONFIDENCE: u8 = 50;
/// Time that a larger model needs at least, as a multiple of the time that the answer took.
const LARGER_TIME_FACTOR: u32 = 3;

/// Facts about an answer whose events have not reached the caller yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeQuery {
    /// Stage of the cascade that answered.
    pub stage: usize,
    /// Number of stages.
    pub stages: usize,
    /// The model's opinion of its answer, 0 to 100; absent when it gave none.
    pub confidence: Option<u8>,
    /// Sends so far.
    pub sends: u32,
    /// Most sends that the request may have.
    pub attempts: u32,
    /// Time from the send to the head of the answer.
    pub took: Duration,
    /// Time until the request gets its final answer.
    pub time_left: Duration,
}

impl SizeQuery {
    /// The stage that is tried next; nothing when the answer is kept.
    ///
    /// A doubted answer goes straight to the last stage: the stages between answer few of the
    /// requests that the first one does not, and each one costs a send.
    pub fn next_stage(&self) -> Option<usize> {
        let last = self.stages.checked_sub(1)?;
        let doubted = self.confidence? < KEPT_CONFIDENCE;
        let allowed = self.stage < last && self.sends < self.attempts;
        let in_time = self.time_left > self.took * LARGER_TIME_FACTOR;
        (doubted && allowed && in_time).then_some(last)
    }
}
