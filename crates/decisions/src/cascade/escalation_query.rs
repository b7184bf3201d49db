//! Escalation to a larger model after an answer in which its own model has low confidence.

use std::time::Duration;

use crate::retry::RunGate;

/// Minimum confidence with which an answer is kept, from 0 to 100.
const MIN_CONFIDENCE: u8 = 50;
/// Minimum time that a larger model needs, as a multiple of the time that the answer took.
const MIN_TIME_FACTOR: u32 = 3;

/// Facts about an answer of which no event has reached the caller yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EscalationQuery {
    /// Whether the request, which ran for this answer, may run again.
    pub gate: RunGate,
    /// Index of the stage that answered.
    pub stage: usize,
    /// Number of stages of the cascade.
    pub stages: usize,
    /// Confidence of the model in its answer, from 0 to 100; absent if it reported none.
    pub confidence: Option<u8>,
    /// Number of sends so far.
    pub sends: u32,
    /// Maximum number of sends of the request.
    pub attempts: u32,
    /// Time from the send to the response head.
    pub took: Duration,
    /// Time left until the request must have its final answer.
    pub time_left: Duration,
}

/// Whether an answer of this confidence is replaced by one of a larger model, if that is possible.
pub fn is_low_confidence(confidence: u8) -> bool {
    confidence < MIN_CONFIDENCE
}

impl EscalationQuery {
    /// Index of the stage to try next; `None` if the answer is kept.
    ///
    /// An answer of low confidence escalates directly to the last stage: the stages in between
    /// answer few of the requests that the first one does not, and each of them costs a send.
    pub fn next_stage(&self) -> Option<usize> {
        let last = self.stages.checked_sub(1)?;
        let is_doubtful = is_low_confidence(self.confidence?);
        let allowed = self.gate.admits() && self.stage < last && self.sends < self.attempts;
        let in_time = self.time_left > self.took * MIN_TIME_FACTOR;
        (is_doubtful && allowed && in_time).then_some(last)
    }
}
