//! Decides when a request whose larger model does not answer goes back to the smaller one that has answered before.
//!
//! The smaller model's answer was dropped, since both models must not run the request at the same time. An answer of low confidence is
//! better for the caller than none.

use std::time::Duration;

/// Multiple of the time that the smaller model took to answer which another answer of it gets, as its upstream may be slower or have other load.
const TIME_FACTOR: u32 = 3;
/// Least time that is kept for the smaller model, as a fraction of the time that was left when its answer was dropped.
const MIN_FRACTION: f64 = 0.1;
/// Largest such fraction: a larger model that gets less than half of the time is not worth its price.
const MAX_FRACTION: f64 = 0.5;

/// The dropped answer of a smaller model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SmallerAnswer {
    /// Stage of the cascade that answered.
    pub stage: usize,
    /// Expected time of a whole answer of it: from the send to the end, or to the head if that is all that is known.
    pub expected: Duration,
    /// Time that was left for the request when the answer was dropped.
    pub time_left: Duration,
}

impl SmallerAnswer {
    /// Time that must be left for the smaller model to answer again.
    pub fn reserve(&self) -> Duration {
        let least = self.time_left.mul_f64(MIN_FRACTION);
        let most = self.time_left.mul_f64(MAX_FRACTION);
        self.expected.saturating_mul(TIME_FACTOR).clamp(least, most)
    }

    /// Time for which the head of the larger model's answer is waited for, `time_left` before the caller gives up.
    pub fn wait(&self, time_left: Duration) -> Duration {
        time_left.saturating_sub(self.reserve())
    }

    /// Whether the next send goes to the smaller model: no other send could follow one to the larger model, or no time is left for one.
    pub fn is_next(&self, attempts_left: u32, time_left: Duration) -> bool {
        attempts_left <= 1 || time_left <= self.reserve() * 2
    }
}
