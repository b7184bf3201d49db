//! Choice of the stage on which a request starts.

use super::{RatingHealth, StageEstimate};

/// Pass rate at which the answers of a stage are accepted without a rating.
pub(super) const TRUSTED_PASS_RATE: f64 = 0.9;

/// Facts about a request that determine its start stage.
#[derive(Debug, Clone, Copy)]
pub struct CascadeQuery<'a> {
    /// Stages that the request may use, in cascade order; at least one.
    pub stages: &'a [StageEstimate],
    /// Whether the request may run more than once, and so on several stages.
    pub idempotent: bool,
    /// Time until the deadline in milliseconds; `None` without a deadline.
    pub time_left_ms: Option<u64>,
    /// State of the rating service.
    pub health: RatingHealth,
    /// Average delay of a rating, in milliseconds.
    pub rating_ms: u64,
}

closed_set! {
    /// Reason for the choice of a start stage.
    pub enum ChoiceReason {
        /// The stage has the least expected cost, including escalation.
        LeastCost,
        /// The request must run on one stage only, since it is not idempotent.
        NotIdempotent,
        /// Ratings are late or missing, so that no answer can be rated in time.
        NoRatings,
        /// The deadline leaves time for one stage only.
        DeadlineNear,
    }
}

/// Start stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageChoice {
    /// Index into the stages of the query.
    pub stage: usize,
    /// Whether a later stage may be tried.
    pub may_escalate: bool,
    /// Reason for the choice.
    pub reason: ChoiceReason,
}

impl StageChoice {
    /// Chooses the start stage; `None` when the query holds no stage.
    pub fn compute(query: &CascadeQuery<'_>) -> Option<Self> {
        if query.stages.is_empty() {
            return None;
        }
        let single = |reason| Self {
            stage: query.single_stage(),
            may_escalate: false,
            reason,
        };
        if !query.idempotent {
            return Some(single(ChoiceReason::NotIdempotent));
        }
        if query.health != RatingHealth::Live {
            return Some(single(ChoiceReason::NoRatings));
        }
        let cheapest = (0..query.stages.len())
            .filter(|stage| query.reaches_quality(*stage))
            .min_by(|a, b| query.expected_cost(*a).total_cmp(&query.expected_cost(*b)));
        let Some(stage) = cheapest else {
            return Some(single(ChoiceReason::DeadlineNear));
        };
        Some(Self {
            stage,
            may_escalate: query.can_escalate(stage),
            reason: ChoiceReason::LeastCost,
        })
    }
}

impl CascadeQuery<'_> {
    /// Stage for a request that runs once: among the stages that meet the deadline, the cheapest
    /// trusted one or else the one with the highest pass rate; if none does, the fastest stage.
    fn single_stage(&self) -> usize {
        let fitting = || (0..self.stages.len()).filter(|s| self.fits(self.stages[*s].latency_ms));
        let by_cost = |a: &usize, b: &usize| self.stages[*a].cost.total_cmp(&self.stages[*b].cost);
        let by_pass = |a: &usize, b: &usize| {
            let pass = |stage: usize| self.stages[stage].first_pass;
            pass(*a).total_cmp(&pass(*b))
        };
        let trusted = fitting()
            .filter(|s| self.stages[*s].first_pass >= TRUSTED_PASS_RATE)
            .min_by(by_cost);
        let fastest = || (0..self.stages.len()).min_by_key(|s| self.stages[*s].latency_ms);
        trusted
            .or_else(|| fitting().max_by(by_pass))
            .or_else(fastest)
            .unwrap_or(0)
    }

    /// Whether a start at `stage` meets the deadline and leads to a rated or trusted answer.
    fn reaches_quality(&self, stage: usize) -> bool {
        let estimate = &self.stages[stage];
        let last = stage + 1 == self.stages.len();
        self.fits(estimate.latency_ms)
            && (last || estimate.first_pass >= TRUSTED_PASS_RATE || self.can_escalate(stage))
    }

    /// Whether the deadline allows for `stage`, its rating and the next stage.
    pub(super) fn can_escalate(&self, stage: usize) -> bool {
        self.stages.get(stage + 1).is_some_and(|next| {
            let first = self.stages[stage].latency_ms;
            self.fits(first + self.rating_ms + next.latency_ms)
        })
    }

    /// Expected cost of a start at `stage`, including escalation.
    pub(super) fn expected_cost(&self, stage: usize) -> f64 {
        let estimate = &self.stages[stage];
        if !self.can_escalate(stage) {
            return estimate.cost;
        }
        let later = self.stages[stage + 1..]
            .iter()
            .rev()
            .fold(0.0, |later, next| {
                next.cost + (1.0 - next.escalated_pass) * later
            });
        estimate.cost + (1.0 - estimate.first_pass) * later
    }

    fn fits(&self, duration_ms: u64) -> bool {
        self.time_left_ms.is_none_or(|left| duration_ms <= left)
    }
}
