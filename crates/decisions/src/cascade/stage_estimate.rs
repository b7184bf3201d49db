//! What is expected of a stage.

/// Expectations of one stage, for the request's class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageEstimate {
    /// Price of an answer, in any unit that all stages share.
    pub cost: f64,
    /// Share of answers that reach the quality target when the request starts here.
    pub first_pass: f64,
    /// The same share when an earlier stage failed before.
    pub escalated_pass: f64,
    /// Time within which most answers are complete, in milliseconds.
    pub latency_ms: u64,
}
