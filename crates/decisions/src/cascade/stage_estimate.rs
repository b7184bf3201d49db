//! Expected cost, quality and latency of a stage.

/// Estimates for one stage and the class of the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageEstimate {
    /// Cost of an answer, in any unit common to all stages.
    pub cost: f64,
    /// Share of answers that reach the quality target if the request starts at this stage.
    pub first_pass: f64,
    /// Share of answers that reach the quality target if the answer of an earlier stage was not
    /// accepted.
    pub escalated_pass: f64,
    /// Time within which most answers are complete, in milliseconds.
    pub latency_ms: u64,
}
