//! Decides how long the head of an answer is waited for before a repeatable request is sent to another upstream.

use std::time::Duration;

/// Multiple of the expected time to the head of an answer after which the answer counts as lost.
const HEAD_TIMEOUT_FACTOR: u32 = 8;
/// Minimum time after which an answer counts as lost, as a fraction of the rule's target latency.
const MIN_HEAD_TIMEOUT_FRACTION: f64 = 0.7;
/// Largest fraction of the time left that a send may take until the head of its answer, so that another upstream can still answer.
const MAX_HEAD_TIMEOUT_FRACTION: f64 = 0.35;
/// Multiple of the expected time to the head of an answer that a send gets however little time is left.
const MIN_HEAD_TIMEOUT_FACTOR: u32 = 2;
/// Retries that must be left for a late answer to be given up.
const MIN_RETRIES: f64 = 1.0;

/// What the wait for the head of an answer depends on, besides the time left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadWait {
    /// Expected time to the head of such an answer.
    pub expected: Duration,
    /// Target latency of the request's rule.
    pub target_latency: Duration,
}

/// What is left for another send of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendMeans {
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Least time that another send needs.
    pub time_needed: Duration,
    /// Retries that the budget of the service has left.
    pub retries: f64,
}

impl HeadWait {
    /// Time after which the head of an answer is late, `time_left` before the caller gives up.
    pub fn limit(&self, time_left: Duration) -> Duration {
        let least = self.target_latency.mul_f64(MIN_HEAD_TIMEOUT_FRACTION);
        let usual = (self.expected * HEAD_TIMEOUT_FACTOR).max(least);
        let most = time_left.mul_f64(MAX_HEAD_TIMEOUT_FRACTION);
        usual.min(most.max(self.expected * MIN_HEAD_TIMEOUT_FACTOR))
    }
}

impl ResendMeans {
    /// Whether another send can be made. Otherwise a late answer is waited for, since it is better than none.
    pub fn suffice(&self) -> bool {
        self.retries >= MIN_RETRIES && self.time_left >= self.time_needed
    }
}
