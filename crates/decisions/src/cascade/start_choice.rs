//! Choice of the model at which a request starts, by the share of answers that are dropped for a larger model.

use std::time::Duration;

use smallvec::SmallVec;

use super::{CascadeQuery, DropShare, RatingHealth, StageEstimate};
use crate::workload::WorkEstimate;

/// Share of dropped answers above which a request with time for one stage starts at a larger one.
const MAJORITY: f64 = 0.5;

/// What is known of one stage, for the class and size range of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageFigures {
    /// Expected work of a run; absent while the class is not known.
    pub work: Option<WorkEstimate>,
    /// Cost of a run relative to other models, as configured; absent if the configuration states none.
    pub cost: Option<f64>,
    /// Share of first answers that were dropped for a larger model.
    pub drops: DropShare,
}

/// Facts that determine the start stage of a request.
#[derive(Debug, Clone, Copy)]
pub struct StartQuery<'a> {
    /// Stages of the cascade, smallest model first.
    pub stages: &'a [StageFigures],
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Time that runs take now, as a multiple of the expected time.
    pub pace: f64,
    /// Whether the next request that would skip the first stage starts there, so that its share of dropped answers stays known.
    pub is_trial_due: bool,
}

closed_set! {
    /// Reason for a start stage.
    pub enum StartReason {
        /// The request starts at the first stage, as the figures don't say that another one takes less work.
        First,
        /// A larger stage takes less expected work.
        LessWork,
        /// The time left suffices for one stage, and the first one's answer would probably be dropped.
        OneStage,
        /// A larger stage would be chosen, but the first one's share of dropped answers is to stay known.
        Trial,
        /// The request may run once only, so that the largest model answers.
        RunsOnce,
    }
}

/// Start stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartChoice {
    /// Index of the stage.
    pub stage: usize,
    /// Reason for it.
    pub reason: StartReason,
}

impl StartReason {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::LessWork => "less_work",
            Self::OneStage => "one_stage",
            Self::Trial => "trial",
            Self::RunsOnce => "runs_once",
        }
    }
}

impl StartChoice {
    /// Start at the first stage.
    pub const FIRST: Self = Self {
        stage: 0,
        reason: StartReason::First,
    };

    /// Start of a request that may run once, in a cascade of `stages` stages.
    pub fn once(stages: usize) -> Self {
        Self {
            stage: stages.saturating_sub(1),
            reason: StartReason::RunsOnce,
        }
    }

    /// Chooses the start stage.
    pub fn compute(query: &StartQuery<'_>) -> Self {
        if !query.is_repeatable {
            return Self::once(query.stages.len());
        }
        let Some(larger) = query.larger_start() else {
            return Self::FIRST;
        };
        match query.is_trial_due {
            true => Self {
                stage: 0,
                reason: StartReason::Trial,
            },
            false => larger,
        }
    }

    /// Whether a larger stage was chosen for the request, also if it starts at the first one as a trial.
    pub fn is_skip(&self) -> bool {
        match self.reason {
            StartReason::LessWork | StartReason::OneStage | StartReason::Trial => true,
            StartReason::First | StartReason::RunsOnce => false,
        }
    }
}

impl StartQuery<'_> {
    /// The larger stage that is better than the first one by the figures.
    fn larger_start(&self) -> Option<StartChoice> {
        let last = self.stages.len().checked_sub(1).filter(|last| *last > 0)?;
        if !self.stages[0].drops.is_known() {
            return None;
        }
        let stages = self.estimates()?;
        let (mut first, largest) = (stages[0]?, stages[last]?);
        // Estimates of models that take about the same time differ by chance; only dropped answers are a reason for a larger one.
        let costs = stages.iter().flatten().map(|pair| pair.alone.cost);
        first.before_last.cost = costs.fold(f64::INFINITY, f64::min);
        // Answers of low confidence go to the last stage directly, so that each start has at most two stages.
        let first_pair = [first.before_last, largest.alone];
        let start_first = self.cascade(&first_pair);
        if !start_first.can_escalate(0) {
            let is_doubtful = self.stages[0].drops.low() > MAJORITY;
            let fitting = (1..=last).rev().find(|stage| {
                let pair = stages[*stage];
                pair.is_some_and(|pair| self.is_eligible(*stage, &pair))
            });
            return fitting.filter(|_| is_doubtful).map(|stage| StartChoice {
                stage,
                reason: StartReason::OneStage,
            });
        }
        let open = (1..=last).filter_map(|stage| {
            let pair = stages[stage].filter(|pair| self.is_eligible(stage, pair))?;
            let cost = match stage == last {
                true => pair.alone.cost,
                false => self
                    .cascade(&[pair.before_last, largest.alone])
                    .expected_cost(0),
            };
            Some((stage, cost))
        });
        let (stage, cost) = open.min_by(|one, other| one.1.total_cmp(&other.1))?;
        (cost < start_first.expected_cost(0)).then_some(StartChoice {
            stage,
            reason: StartReason::LessWork,
        })
    }

    /// Whether a request may start at the larger stage `stage`: its share of dropped answers is known, and it finishes in time.
    fn is_eligible(&self, stage: usize, pair: &StagePair) -> bool {
        let is_last = stage + 1 == self.stages.len();
        let is_in_time = u128::from(pair.alone.latency_ms) <= self.time_left.as_millis();
        (is_last || self.stages[stage].drops.is_known()) && is_in_time
    }

    fn cascade<'a>(&self, stages: &'a [StageEstimate]) -> CascadeQuery<'a> {
        CascadeQuery {
            stages,
            idempotent: true,
            time_left_ms: Some(self.time_left.as_millis() as u64),
            health: RatingHealth::Live,
            // The head of an answer states the confidence.
            rating_ms: 0,
        }
    }

    /// Estimates of the stages in one unit of cost; absent if neither work nor configured costs are known for the first and the last one.
    fn estimates(&self) -> Option<SmallVec<[Option<StagePair>; 3]>> {
        let pair = |index: usize, stage: &StageFigures, cost: f64| {
            let work = stage.work.unwrap_or_default();
            let head = self.millis(work.head);
            let whole = self.millis(work.head + work.body_high);
            StagePair::new(cost, head, whole, drop_bound(index, stage))
        };
        let by_work = |(index, stage): (usize, &StageFigures)| {
            let work = stage.work?;
            Some(pair(index, stage, (work.head + work.body).as_secs_f64()))
        };
        let by_cost = |(index, stage): (usize, &StageFigures)| {
            let cost = stage.cost.filter(|cost| cost.is_finite() && *cost > 0.0)?;
            Some(pair(index, stage, cost))
        };
        let (first, last) = (self.stages.first()?, self.stages.last()?);
        let is_work_known = first.work.is_some() && last.work.is_some();
        let stages = self.stages.iter().enumerate();
        Some(match is_work_known {
            true => stages.map(by_work).collect(),
            false => stages.map(by_cost).collect(),
        })
    }

    fn millis(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * self.pace * 1_000.0) as u64
    }
}

/// Estimates of a stage by what follows it.
#[derive(Debug, Clone, Copy)]
struct StagePair {
    /// The answer is judged by its head, and may be dropped for one of the last stage.
    before_last: StageEstimate,
    /// The answer is read to its end.
    alone: StageEstimate,
}

impl StagePair {
    fn new(cost: f64, head_ms: u64, whole_ms: u64, drop_share: f64) -> Self {
        let estimate = |latency_ms| StageEstimate {
            cost,
            first_pass: 1.0 - drop_share,
            escalated_pass: 1.0,
            latency_ms,
        };
        Self {
            before_last: estimate(head_ms),
            alone: estimate(whole_ms),
        }
    }
}

/// Share of dropped answers by which a start at the stage is weighed: the bound that favours the first stage.
fn drop_bound(index: usize, stage: &StageFigures) -> f64 {
    match index {
        0 => stage.drops.low(),
        _ => stage.drops.high(),
    }
}
