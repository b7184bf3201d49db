//! Expected time of a run.

use std::time::Duration;

/// Expected time of a run on an otherwise idle upstream of usual speed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Time to the response head with no part of the prompt cached.
    pub head: Duration,
    /// Mean time from the response head to the end.
    pub body: Duration,
    /// Time from the response head to the end that nine of ten runs do not exceed.
    pub body_high: Duration,
}
