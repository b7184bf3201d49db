//! Rates the times of answers by what is usual at the old versions.

use std::time::Duration;

use ferry_decisions::rollout::{AnswerQuality, VersionSide};

use super::active_rollout::ActiveRollout;
use super::rollout_manager::{AnswerEvidence, known_phase, latency_class};

/// Answers that take at most this long never count as slow.
pub(super) const MIN_SLOW_LATENCY: Duration = Duration::from_millis(120);

/// Streams whose mean pause is at most this long never count as slow.
const MIN_SLOW_PAUSE: Duration = Duration::from_millis(20);

/// Part of these times up to which a time counts as the expected one at most.
const NOTICED_PART: f64 = 0.4;

/// Time of an answer as a multiple of the expected one, and whether that is slow.
#[derive(Debug, Clone, Copy)]
pub struct RatedTime {
    /// Multiple of the expected time; `None` while nothing is expected yet.
    pub ratio: Option<f64>,
    /// Whether it counts for or against the version.
    pub quality: AnswerQuality,
}

/// Rates the time to the head of an answer by what is usual at the old versions, whose own answers are rated in the same way: some
/// of them are slow too, for example in a burst.
pub(super) fn rate_head(
    rollout: &mut ActiveRollout,
    side: VersionSide,
    answer: &AnswerEvidence<'_>,
    took: Duration,
) -> RatedTime {
    let class = latency_class(answer);
    let factor = known_phase(rollout).slow_factor();
    let latency = &mut rollout.base_latency;
    let ratio = latency.ratio(&class, took, answer.prompt_tokens);
    if side == VersionSide::Base {
        latency.record(&class, took, answer.prompt_tokens);
    }
    RatedTime::new(ratio, factor, took, MIN_SLOW_LATENCY)
}

/// Rates the pace of a stream in the same way.
pub(super) fn rate_pace(
    rollout: &mut ActiveRollout,
    side: VersionSide,
    answer: &AnswerEvidence<'_>,
    pause: Duration,
) -> RatedTime {
    let factor = known_phase(rollout).slow_pace_factor();
    let ratio = rollout.base_pace.ratio(answer.model, pause);
    if side == VersionSide::Base {
        rollout.base_pace.record(answer.model, pause);
    }
    RatedTime::new(ratio, factor, pause, MIN_SLOW_PAUSE)
}

impl RatedTime {
    /// Rates `took`, which is `ratio` times the expected time; slow from `factor` on, unless it is at most `least_slow`.
    fn new(ratio: Option<f64>, factor: f64, took: Duration, least_slow: Duration) -> Self {
        let is_slow = took > least_slow && ratio.is_some_and(|ratio| ratio > factor);
        // Callers hardly notice how many times slower a very short time is.
        let limit = match took > least_slow.mul_f64(NOTICED_PART) {
            true => f64::INFINITY,
            false => 1.0,
        };
        Self {
            ratio: ratio.map(|ratio| ratio.min(limit)),
            quality: match is_slow {
                true => AnswerQuality::Bad,
                false => AnswerQuality::Good,
            },
        }
    }
}
