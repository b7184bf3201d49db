//! Expected time left of a run in progress.

use std::time::Duration;

use super::WorkEstimate;
use super::log_normal::LogNormal;
use crate::time::nearest_span;

/// Share of the expected time to the head that is still left, at least, of a run whose head is overdue.
const OVERDUE_HEAD_SHARE: f64 = 0.1;
/// Smallest slowness that is believed.
const MIN_SLOWNESS: f64 = 0.1;
/// Shortest expected time of a body, in seconds; guards the logarithm.
const MIN_BODY_S: f64 = 1e-3;

/// A run in progress, by its estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemainingWork {
    /// The estimate at the send, with the time to the head reduced by the cached part of the prompt.
    pub estimate: WorkEstimate,
    /// Expected time per stream event; absent when unknown.
    pub pace: Option<Duration>,
    /// Time that the upstream takes, as a multiple of the usual one.
    pub slowness: f64,
}

impl RemainingWork {
    /// Expected time left on an upstream of usual speed, `elapsed` after the send and with `events` passed.
    ///
    /// Never zero: a run that is longer than expected has the rest that the spread of the class lets expect.
    pub fn left(&self, elapsed: Duration, events: u32) -> Duration {
        let spent_s = elapsed.as_secs_f64() / self.slowness.max(MIN_SLOWNESS);
        let head_s = self.estimate.head.as_secs_f64();
        let body_s = self.estimate.body.as_secs_f64().max(MIN_BODY_S);
        if events == 0 {
            let head_left_s = (head_s - spent_s).max(OVERDUE_HEAD_SHARE * head_s);
            return nearest_span(head_left_s + body_s);
        }
        let done_s = match self.pace {
            Some(pace) => pace.as_secs_f64() * f64::from(events),
            None => spent_s - head_s,
        };
        let high_s = self.estimate.body_high.as_secs_f64();
        let body = LogNormal::of_mean_and_high(body_s, high_s);
        nearest_span(body.mean_left(done_s))
    }
}
