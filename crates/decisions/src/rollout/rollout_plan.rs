//! Traffic share of the new version over time, and the conditions for the next phase.
//!
//! A version may be bad without having shown it: its fault may need more load, or more time. Until the deadline it therefore gets
//! no more requests than a bad version may. All traffic moves only when the time that is left is short enough for that.

use std::time::Duration;

use super::RolloutPhase;

/// Part of the requests that a bad version may get which the canary phase uses.
const CANARY_EXPOSURE_PART: f64 = 0.33;
/// Part of that share which the plan uses until the deadline.
const USED_SHARE_PART: f64 = 0.9;
/// Part of the tolerance beyond the share which the plan uses.
const USED_TOLERANCE_PART: f64 = 0.3;
/// Answers of the new version that the canary share should yield before conversations may move.
const CANARY_ANSWERS: f64 = 60.0;
/// Minimum share of the conversations that the canary phase moves, unless the exposure bound is
/// lower.
const MIN_CANARY_SHARE: f64 = 0.005;
/// Part of the roll-out time during which conversations keep the version that they began on.
const PINNED_TIME_PART: f64 = 0.5;
/// Time of the announced phase, in which every router learns which conversations are ongoing at the others.
const ANNOUNCED_TIME: Duration = Duration::from_millis(1_500);
/// Safety margin after the end of [`PINNED_TIME_PART`] before conversations may move.
const PINNED_MARGIN: Duration = Duration::from_millis(300);
/// Minimum answers of the new version before the full phase.
const MIN_ANSWERS: u64 = 8;
/// Minimum duration of the full phase.
const MIN_FULL_TIME: Duration = Duration::from_millis(500);
/// Time before the limit at which a roll-out completes even if old versions still have requests.
const COMPLETION_MARGIN: Duration = Duration::from_millis(700);
/// Roll-out time from which these times apply; they are shorter in proportion in a shorter roll-out.
const FULL_MARGINS_DURATION: Duration = Duration::from_secs(14);

/// Requests that a bad version may get until the deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExposureBound {
    /// Share of all requests for the service.
    pub share: f64,
    /// Number of requests beyond that share.
    pub tolerance: f64,
}

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
    /// Whether its answers speak for the new version, not only not against it.
    pub is_proven: bool,
    /// Requests sent to the new version, fleet-wide.
    pub exposed: u64,
    /// Requests sent to the service, fleet-wide.
    pub requests: u64,
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

impl ExposureBound {
    /// Number of requests that the plan uses of `requests`; the rest is for those that routers have not reported yet.
    fn usable(&self, requests: f64) -> f64 {
        self.share * requests * USED_SHARE_PART + self.tolerance * USED_TOLERANCE_PART
    }
}

impl RolloutPlan {
    /// Smallest share of the conversations that yields enough answers in the canary phase.
    ///
    /// When a phase begins, an ongoing conversation changes its version unless its next request
    /// reaches the router that had the last one. A small share limits the number of such
    /// conversations and the exposure to a bad version. `bound` limits the requests that a bad
    /// version may get, `requests_per_second` is the fleet's rate for the service.
    pub fn canary_share(
        duration: Duration,
        bound: &ExposureBound,
        requests_per_second: f64,
    ) -> f64 {
        let requests = (requests_per_second * duration.as_secs_f64()).max(1.0);
        let allowed = bound.share + bound.tolerance / requests;
        let max_share = (allowed * CANARY_EXPOSURE_PART).min(bound.share);
        let needed = CANARY_ANSWERS / (requests * PINNED_TIME_PART).max(1.0);
        needed.clamp(MIN_CANARY_SHARE.min(max_share), max_share)
    }

    /// Share of the conversations that the new version gets in `phase`.
    pub fn share(&self, phase: RolloutPhase) -> f64 {
        match phase {
            RolloutPhase::Canary | RolloutPhase::Ramp => self.canary_share,
            RolloutPhase::Full | RolloutPhase::Completed => 1.0,
            RolloutPhase::Announced | RolloutPhase::Reverted => 0.0,
        }
    }

    /// Number of the new version's `target` upstreams that take the requests of `phase`, so that each of them has about the load of
    /// one of the `base` old ones: a fault that needs load shows, and times can be compared.
    pub fn target_upstreams(&self, phase: RolloutPhase, target: usize, base: usize) -> usize {
        let is_canary = matches!(phase, RolloutPhase::Canary | RolloutPhase::Ramp);
        if !is_canary || base == 0 {
            return target;
        }
        let share = self.share(phase);
        let needed = (base as f64 * share / (1.0 - share).max(f64::EPSILON)).round();
        (needed as usize).clamp(1, target.max(1))
    }

    /// Whether conversations that began on an old version must still stay on it.
    pub fn pins_old(&self, elapsed: Duration) -> bool {
        elapsed < self.pinned_time()
    }

    /// Time until the next phase is due if the evidence shows no harm; zero if it is due now.
    pub fn next_phase_in(&self, input: &PlanInput, bound: &ExposureBound) -> Duration {
        let due = match input.phase {
            RolloutPhase::Announced => ANNOUNCED_TIME.mul_f64(self.margin_part()),
            RolloutPhase::Canary | RolloutPhase::Ramp => self.full_at(input, bound),
            RolloutPhase::Full => self.duration.saturating_sub(self.completion_margin()),
            RolloutPhase::Completed | RolloutPhase::Reverted => Duration::MAX,
        };
        due.saturating_sub(input.elapsed)
    }

    /// Next phase, if the evidence shows no harm; `None` while the current phase continues.
    ///
    /// A version that is not proven when its time is over is reverted: a completed one can't be.
    pub fn next_phase(&self, input: &PlanInput, bound: &ExposureBound) -> Option<RolloutPhase> {
        let is_due = self.next_phase_in(input, bound).is_zero();
        match input.phase {
            RolloutPhase::Announced => is_due.then_some(RolloutPhase::Canary),
            RolloutPhase::Canary | RolloutPhase::Ramp if is_due => {
                let is_ready = input.is_proven && input.answers >= MIN_ANSWERS;
                let is_late =
                    self.duration.saturating_sub(input.elapsed) <= self.completion_margin();
                match (is_ready, is_late) {
                    (true, _) => Some(RolloutPhase::Full),
                    (false, true) => Some(RolloutPhase::Reverted),
                    (false, false) => None,
                }
            }
            RolloutPhase::Canary | RolloutPhase::Ramp => None,
            RolloutPhase::Full => {
                let is_drained = input.old_in_flight == 0 && input.in_phase >= self.min_full_time();
                match (input.is_proven, is_drained || is_due) {
                    (true, true) => Some(RolloutPhase::Completed),
                    (false, _) if is_due => Some(RolloutPhase::Reverted),
                    _ => None,
                }
            }
            RolloutPhase::Completed | RolloutPhase::Reverted => None,
        }
    }

    fn completion_margin(&self) -> Duration {
        COMPLETION_MARGIN.mul_f64(self.margin_part())
    }

    fn min_full_time(&self) -> Duration {
        MIN_FULL_TIME.mul_f64(self.margin_part())
    }

    fn margin_part(&self) -> f64 {
        let part = self.duration.as_secs_f64() / FULL_MARGINS_DURATION.as_secs_f64();
        part.min(1.0)
    }

    fn pinned_time(&self) -> Duration {
        self.duration.mul_f64(PINNED_TIME_PART) + PINNED_MARGIN
    }

    /// Time since the order from which a bad version may get all traffic until the deadline.
    fn full_at(&self, input: &PlanInput, bound: &ExposureBound) -> Duration {
        let requests = input.requests as f64;
        let rate = requests / input.elapsed.as_secs_f64().max(f64::EPSILON);
        let unused = bound.usable(requests) - input.exposed as f64;
        // Each request until the deadline also raises the number that is allowed.
        let used_per_second = (rate * (1.0 - bound.share)).max(f64::EPSILON);
        let affordable = Duration::try_from_secs_f64(unused.max(0.0) / used_per_second);
        let least = self.completion_margin() + self.min_full_time();
        let full_time = affordable.unwrap_or(self.duration).max(least);
        self.duration
            .saturating_sub(full_time)
            .max(self.pinned_time())
    }
}
