//! Traffic share of the new version over time, and the conditions for the next phase.

use std::time::Duration;

use super::RolloutPhase;

/// Part of the exposure bound that the canary phase uses.
const CANARY_EXPOSURE_PART: f64 = 0.5;
/// Answers of the new version that the canary share should yield before conversations may move.
const CANARY_ANSWERS: f64 = 60.0;
/// Minimum share of the conversations that the canary phase moves, unless the exposure bound is
/// lower.
const MIN_CANARY_SHARE: f64 = 0.005;
/// Share of the conversations that the ramp phase moves.
const RAMP_SHARE: f64 = 0.4;
/// Part of the roll-out time during which conversations keep the version that they began on.
const PINNED_TIME_PART: f64 = 0.5;
/// Safety margin after the end of [`PINNED_TIME_PART`] before conversations may move.
const PINNED_MARGIN: Duration = Duration::from_millis(300);
/// Minimum answers of the new version before the ramp phase, and again before the full phase.
const MIN_ANSWERS: u64 = 16;
/// Minimum duration of the ramp phase, as a part of the roll-out time.
const MIN_RAMP_PART: f64 = 0.1;
/// Minimum duration of the full phase.
const MIN_FULL_TIME: Duration = Duration::from_millis(1_500);
/// Time before the limit at which a roll-out completes even if old versions still have requests.
const COMPLETION_MARGIN: Duration = Duration::from_millis(1_300);

/// Input to [`RolloutPlan::next_phase`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanInput {
    /// Current phase.
    pub phase: RolloutPhase,
    /// Time since the roll-out order.
    pub elapsed: Duration,
    /// Time since the current phase began.
    pub in_phase: Duration,
    /// Answers of the new version, fleet-wide.
    pub answers: u64,
    /// Requests in flight on the old versions, fleet-wide.
    pub old_in_flight: u32,
}

/// Time limit and canary share of one roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutPlan {
    /// Time limit from the order to the end of the roll-out.
    pub duration: Duration,
    /// Share of the conversations that the canary phase moves; the same at every router.
    pub canary_share: f64,
}

impl RolloutPlan {
    /// Smallest share of the conversations that yields enough answers in the canary phase.
    ///
    /// When a phase begins, an ongoing conversation changes its version unless its next request
    /// reaches the router that had the last one. A small share limits the number of such
    /// conversations and the exposure to a bad version. `exposure_share` is the share of the
    /// requests that a bad version may get, `requests_per_second` the fleet's rate for the service.
    pub fn canary_share(duration: Duration, exposure_share: f64, requests_per_second: f64) -> f64 {
        let max_share = exposure_share * CANARY_EXPOSURE_PART;
        let requests = requests_per_second * duration.as_secs_f64() * PINNED_TIME_PART;
        (CANARY_ANSWERS / requests.max(1.0)).clamp(MIN_CANARY_SHARE.min(max_share), max_share)
    }

    /// Share of the conversations that the new version gets in `phase`.
    pub fn share(&self, phase: RolloutPhase) -> f64 {
        match phase {
            RolloutPhase::Canary => self.canary_share,
            RolloutPhase::Ramp => RAMP_SHARE,
            RolloutPhase::Full | RolloutPhase::Completed => 1.0,
            RolloutPhase::Reverted => 0.0,
        }
    }

    /// Whether conversations that began on an old version must still stay on it.
    pub fn pins_old(&self, elapsed: Duration) -> bool {
        elapsed < self.duration.mul_f64(PINNED_TIME_PART) + PINNED_MARGIN
    }

    /// Next phase, if the evidence shows no harm; `None` while the current phase continues.
    pub fn next_phase(&self, input: &PlanInput) -> Option<RolloutPhase> {
        let left = self.duration.saturating_sub(input.elapsed);
        let must_complete = left < COMPLETION_MARGIN;
        match input.phase {
            RolloutPhase::Canary => {
                let is_ready = !self.pins_old(input.elapsed) && input.answers >= MIN_ANSWERS;
                (is_ready && !must_complete).then_some(RolloutPhase::Ramp)
            }
            RolloutPhase::Ramp => {
                let has_evidence = input.answers >= 2 * MIN_ANSWERS
                    && input.in_phase >= self.duration.mul_f64(MIN_RAMP_PART);
                (has_evidence && !must_complete).then_some(RolloutPhase::Full)
            }
            RolloutPhase::Full => {
                let is_drained = input.old_in_flight == 0 && input.in_phase >= MIN_FULL_TIME;
                (is_drained || must_complete).then_some(RolloutPhase::Completed)
            }
            RolloutPhase::Completed | RolloutPhase::Reverted => None,
        }
    }
}
