//! Shares and moves of a roll-out over time.

use std::time::Duration;

use super::RolloutPhase;

/// Part of the exposure bound that the first phase uses.
const CANARY_PART: f64 = 0.5;
/// Answers that the first phase should bring until the second one may begin.
const CANARY_ANSWERS: f64 = 60.0;
/// Least part of the conversations that the first phase moves.
const CANARY_LEAST: f64 = 0.005;
/// Part of the conversations that the second phase moves.
const RAMP_SHARE: f64 = 0.4;
/// Part of the time during which conversations keep the version that they began on.
const PINNED_PART: f64 = 0.5;
/// Time by which moves keep clear of that part's end.
const PINNED_MARGIN: Duration = Duration::from_millis(300);
/// Answers of the new version before the second phase, and between it and the third.
const LEAST_ANSWERS: u64 = 16;
/// Time that the second phase lasts at least, as a part of the whole.
const RAMP_PART: f64 = 0.1;
/// Time that the third phase lasts at least.
const FULL_LEAST: Duration = Duration::from_millis(1_500);
/// Time before the end at which a roll-out is completed even if old requests still run.
const COMPLETION_MARGIN: Duration = Duration::from_millis(1_300);

/// What a router knows when it asks for the next phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanQuery {
    /// Present phase.
    pub phase: RolloutPhase,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the present phase began.
    pub in_phase: Duration,
    /// Answers of the new version over the fleet.
    pub answers: u64,
    /// Requests in flight on the old versions over the fleet.
    pub old_in_flight: u32,
}

/// Plan of one roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutPlan {
    /// Time within which it is to be done.
    pub duration: Duration,
    /// Part of the conversations that the first phase moves, the same at every router.
    pub canary_share: f64,
}

impl RolloutPlan {
    /// Part of the conversations that the first phase moves: as few as bring enough answers.
    ///
    /// Conversations that are under way change their version when a phase begins, unless the
    /// router that gets their next request had the last one; a small share keeps these few, and
    /// exposes few to a bad version. `exposure_share` is the part of the requests that a bad
    /// version may get, `requests_per_second` what the fleet sends to the service.
    pub fn canary_share(duration: Duration, exposure_share: f64, requests_per_second: f64) -> f64 {
        let most = exposure_share * CANARY_PART;
        let requests = requests_per_second * duration.as_secs_f64() * PINNED_PART;
        (CANARY_ANSWERS / requests.max(1.0)).clamp(CANARY_LEAST.min(most), most)
    }

    /// Part of the conversations that the new version gets in `phase`.
    pub fn share(&self, phase: RolloutPhase) -> f64 {
        match phase {
            RolloutPhase::Canary => self.canary_share,
            RolloutPhase::Ramp => RAMP_SHARE,
            RolloutPhase::Full | RolloutPhase::Completed => 1.0,
            RolloutPhase::Reverted => 0.0,
        }
    }

    /// Whether conversations still have to keep the old version that they began on.
    pub fn pins_old(&self, elapsed: Duration) -> bool {
        elapsed < self.duration.mul_f64(PINNED_PART) + PINNED_MARGIN
    }

    /// The phase that follows now on good evidence; nothing while the present one goes on.
    pub fn next_phase(&self, query: &PlanQuery) -> Option<RolloutPhase> {
        let left = self.duration.saturating_sub(query.elapsed);
        let ends = left < COMPLETION_MARGIN;
        match query.phase {
            RolloutPhase::Canary => {
                let ready = !self.pins_old(query.elapsed) && query.answers >= LEAST_ANSWERS;
                (ready && !ends).then_some(RolloutPhase::Ramp)
            }
            RolloutPhase::Ramp => {
                let proved = query.answers >= 2 * LEAST_ANSWERS
                    && query.in_phase >= self.duration.mul_f64(RAMP_PART);
                (proved && !ends).then_some(RolloutPhase::Full)
            }
            RolloutPhase::Full => {
                let quiet = query.old_in_flight == 0 && query.in_phase >= FULL_LEAST;
                (quiet || ends).then_some(RolloutPhase::Completed)
            }
            RolloutPhase::Completed | RolloutPhase::Reverted => None,
        }
    }
}
