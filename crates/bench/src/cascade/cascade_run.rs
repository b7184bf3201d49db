//! Simulates one run on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ferry_decisions::cascade::{
    AnswerVerdict, RatingOutcome, StageChoice, StageEntry, StageEstimate, judge_answer,
    rating_wait_ms,
};
use rand::distr::weighted::WeightedIndex;
use rand::prelude::*;
use rand::rngs::StdRng;

use super::cascade_outcome::AnsweredRequest;
use super::cascade_router::CascadeRouter;
use super::{CascadeExperiment, CascadeOutcome, CascadeScenario, CascadeVariant};

/// Minimum score of an accepted answer; answers score 0 or 1.
const QUALITY_TARGET: f64 = 0.5;
/// Maximum time that the baseline `cheap_first` waits for a rating, in milliseconds.
const BASELINE_WAIT_MS: u64 = 2_000;
/// Time after which a rating counts as missing, in milliseconds.
const RATING_TIMEOUT_MS: u64 = 5_000;
/// Interval between messages to peers, in milliseconds.
const PEER_INTERVAL_MS: u64 = 1_000;

/// A rating that is due: time, router, class, stage, entry, whether it passed (`None` when
/// missing), delay.
type DueRating = Reverse<(u64, usize, usize, usize, StageEntry, Option<bool>, u64)>;

/// State of a request while it passes through the stages.
struct RunningRequest {
    router: usize,
    class: usize,
    /// Difficulty from 0 to 1: a stage answers the request well if its pass share is larger.
    difficulty: f64,
    idempotent: bool,
    start_ms: u64,
    elapsed_ms: u64,
    cost: f64,
    stages: u32,
    good: bool,
}

/// State of one simulated run.
pub(super) struct CascadeRun<'a> {
    experiment: &'a CascadeExperiment,
    scenario: &'a CascadeScenario,
    variant: CascadeVariant,
    random: StdRng,
    classes: WeightedIndex<f64>,
    routers: Vec<CascadeRouter>,
    due: BinaryHeap<DueRating>,
    next_exchange: u64,
    outcome: CascadeOutcome,
}

impl<'a> CascadeRun<'a> {
    pub(super) fn new(
        experiment: &'a CascadeExperiment,
        scenario: &'a CascadeScenario,
        variant: CascadeVariant,
        seed: u64,
    ) -> Self {
        let weights = experiment.classes.iter().map(|class| class.weight);
        Self {
            experiment,
            scenario,
            variant,
            random: StdRng::seed_from_u64(seed),
            classes: WeightedIndex::new(weights).expect("an experiment has a class with traffic"),
            routers: (0..experiment.routers).map(CascadeRouter::new).collect(),
            due: BinaryHeap::new(),
            next_exchange: 0,
            outcome: CascadeOutcome::default(),
        }
    }

    pub(super) fn simulate(mut self) -> CascadeOutcome {
        let end_ms = (self.experiment.duration_s * 1_000) as f64;
        let mut now = self.gap_ms();
        while now < end_ms {
            self.apply_due_ratings(now as u64);
            self.exchange(now as u64);
            self.handle_arrival(now as u64);
            now += self.gap_ms();
        }
        self.outcome
    }

    fn handle_arrival(&mut self, now: u64) {
        let mut request = RunningRequest {
            router: self.random.random_range(0..self.experiment.routers),
            class: self.classes.sample(&mut self.random),
            difficulty: self.random.random(),
            idempotent: self.random.random::<f64>() >= self.experiment.not_idempotent_share,
            start_ms: now,
            elapsed_ms: 0,
            cost: 0.0,
            stages: 0,
            good: false,
        };
        match self.variant {
            CascadeVariant::AlwaysStrong => {
                let last = self.experiment.stages.len() - 1;
                self.run_stage(&mut request, last);
            }
            CascadeVariant::CheapFirst => self.run_cheap_first(&mut request),
            CascadeVariant::ChosenAlone | CascadeVariant::ChosenPooled => {
                self.run_chosen(&mut request);
            }
        }
        self.outcome.requests.push(AnsweredRequest {
            cost: request.cost,
            latency_ms: request.elapsed_ms,
            good: request.good,
            in_time: request.elapsed_ms <= self.scenario.deadline_ms,
            stages: request.stages,
            idempotent: request.idempotent,
        });
    }

    fn run_cheap_first(&mut self, request: &mut RunningRequest) {
        for stage in 0..self.experiment.stages.len() {
            self.run_stage(request, stage);
            if !request.idempotent || stage + 1 == self.experiment.stages.len() {
                return;
            }
            if self.await_rating(request, BASELINE_WAIT_MS) == RatingOutcome::Score(1.0) {
                return;
            }
        }
    }

    fn run_chosen(&mut self, request: &mut RunningRequest) {
        let router = &self.routers[request.router];
        let stages = router.estimates(self.experiment, request.class, request.start_ms);
        let choice = router.choose(&stages, request.idempotent, self.scenario.deadline_ms);
        let mut stage = choice.stage;
        loop {
            self.run_stage(request, stage);
            match self.judge(request, &stages, stage, choice) {
                AnswerVerdict::Escalate(next) => stage = next,
                AnswerVerdict::Accept
                | AnswerVerdict::AcceptBelowTarget
                | AnswerVerdict::AcceptUnrated => return,
            }
        }
    }

    fn judge(
        &self,
        request: &mut RunningRequest,
        stages: &[StageEstimate],
        stage: usize,
        choice: StageChoice,
    ) -> AnswerVerdict {
        let time_left_ms = |request: &RunningRequest| {
            Some(self.scenario.deadline_ms.saturating_sub(request.elapsed_ms))
        };
        let wait_ms = rating_wait_ms(stages, stage, choice, time_left_ms(request));
        let rating = if wait_ms == 0 {
            RatingOutcome::Missing
        } else {
            self.await_rating(request, wait_ms)
        };
        let time_left_ms = time_left_ms(request);
        judge_answer(stages, stage, choice, rating, QUALITY_TARGET, time_left_ms)
    }

    /// Runs the request on `stage` and schedules the rating of the answer.
    fn run_stage(&mut self, request: &mut RunningRequest, stage: usize) {
        let model = &self.experiment.stages[stage];
        let latency_factor = self.random.random_range(0.5..1.5);
        request.elapsed_ms += (model.latency_ms as f64 * latency_factor) as u64;
        request.cost += model.cost;
        request.good = request.difficulty < self.pass_share(request, stage);
        let entry = if request.stages == 0 {
            StageEntry::First
        } else {
            StageEntry::Escalated
        };
        request.stages += 1;
        let end_ms = request.start_ms + request.elapsed_ms;
        let (delay_ms, score) = if self.ratings_are_down(end_ms) {
            (RATING_TIMEOUT_MS, None)
        } else {
            (self.scenario.rating_ms, Some(request.good))
        };
        let RunningRequest { router, class, .. } = *request;
        let due = (
            end_ms + delay_ms,
            router,
            class,
            stage,
            entry,
            score,
            delay_ms,
        );
        self.due.push(Reverse(due));
    }

    /// Advances the request until its last answer is rated, by at most `wait_ms` milliseconds.
    fn await_rating(&self, request: &mut RunningRequest, wait_ms: u64) -> RatingOutcome {
        let end_ms = request.start_ms + request.elapsed_ms;
        if self.ratings_are_down(end_ms) || self.scenario.rating_ms > wait_ms {
            request.elapsed_ms += wait_ms;
            return RatingOutcome::Missing;
        }
        request.elapsed_ms += self.scenario.rating_ms;
        RatingOutcome::Score(if request.good { 1.0 } else { 0.0 })
    }

    fn apply_due_ratings(&mut self, now: u64) {
        while let Some(Reverse((due, ..))) = self.due.peek()
            && *due <= now
            && let Some(Reverse((_, router, class, stage, entry, score, delay_ms))) = self.due.pop()
        {
            let router = &mut self.routers[router];
            match score {
                Some(passed) => {
                    router.monitor.record_rating(delay_ms);
                    router.record(self.experiment, class, stage, entry, passed, now);
                }
                None => router.monitor.record_missing(),
            }
        }
    }

    fn exchange(&mut self, now: u64) {
        if self.variant != CascadeVariant::ChosenPooled || now < self.next_exchange {
            return;
        }
        self.next_exchange = now + PEER_INTERVAL_MS;
        let deltas: Vec<_> = self
            .routers
            .iter_mut()
            .map(CascadeRouter::take_delta)
            .collect();
        for router in &mut self.routers {
            deltas.iter().for_each(|delta| router.pool.merge(delta));
        }
    }

    fn pass_share(&self, request: &RunningRequest, stage: usize) -> f64 {
        let class = &self.experiment.classes[request.class];
        let half_ms = self.experiment.duration_s * 500;
        let later = class
            .later_pass
            .as_ref()
            .filter(|_| self.scenario.drift && request.start_ms >= half_ms);
        later.unwrap_or(&class.pass)[stage]
    }

    fn ratings_are_down(&self, now: u64) -> bool {
        self.scenario
            .ratings_down_s
            .is_some_and(|(from, to)| (from * 1_000..to * 1_000).contains(&now))
    }

    /// Exponentially distributed time to the next request over all routers, in milliseconds.
    fn gap_ms(&mut self) -> f64 {
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        -uniform.ln() * 1_000.0 / self.experiment.requests_per_second
    }
}
