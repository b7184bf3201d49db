//! Simulates one roll-out on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ferry_decisions::guard::AnswerOutcome;
use rand::distr::weighted::WeightedIndex;
use rand::prelude::*;
use rand::rngs::StdRng;

use super::guard_fleet::GuardFleet;
use super::{GuardExperiment, GuardOutcome, GuardScenario, GuardVariant};

/// Step of the virtual clock, in milliseconds.
const CLOCK_STEP_MS: u64 = 5;

/// A rating that arrives or times out at a given time: time, router, workspace, outcome.
type DueRating = Reverse<(u64, usize, usize, AnswerOutcome)>;

/// State of one simulated roll-out.
pub(super) struct GuardRun<'a> {
    experiment: &'a GuardExperiment,
    scenario: &'a GuardScenario,
    fleet: GuardFleet,
    random: StdRng,
    workspaces: WeightedIndex<f64>,
    due: BinaryHeap<DueRating>,
    unrated: u64,
    outcome: GuardOutcome,
}

impl<'a> GuardRun<'a> {
    pub(super) fn new(
        experiment: &'a GuardExperiment,
        scenario: &'a GuardScenario,
        variant: GuardVariant,
        seed: u64,
    ) -> Self {
        Self {
            experiment,
            scenario,
            fleet: GuardFleet::new(experiment, scenario, variant),
            random: StdRng::seed_from_u64(seed),
            workspaces: WeightedIndex::new(&experiment.workspace_weights)
                .expect("an experiment has a workspace with traffic"),
            due: BinaryHeap::new(),
            unrated: 0,
            outcome: GuardOutcome::default(),
        }
    }

    pub(super) fn simulate(mut self) -> GuardOutcome {
        let end_ms = self.experiment.duration_s * 1_000;
        let mut next_arrival = self.gap_ms();
        for now in (0..end_ms).step_by(CLOCK_STEP_MS as usize) {
            self.fleet.deliver(now);
            self.apply_due_ratings(now);
            while next_arrival <= now as f64 {
                self.handle_arrival(now);
                next_arrival += self.gap_ms();
            }
            if now % self.experiment.peer_interval_ms < CLOCK_STEP_MS {
                self.fleet.exchange(now);
            }
            if self.record_stop(now) {
                break;
            }
        }
        self.outcome
    }

    /// Records whether routers have stopped; returns true once all have.
    fn record_stop(&mut self, now: u64) -> bool {
        let stopped = self.fleet.stopped_count();
        self.outcome.tripped |= stopped > 0;
        let all = stopped == self.experiment.routers;
        if all {
            self.outcome.stopped_ms = Some(now);
            self.count_remaining(now);
        }
        all
    }

    /// Adds the requests expected until the end of the run to the offered ones, so that the served
    /// shares of runs that stopped at different times are comparable.
    fn count_remaining(&mut self, now: u64) {
        let rest_ms = (self.experiment.duration_s * 1_000 - now) as f64;
        let rest = rest_ms / 1_000.0 * self.experiment.requests_per_second;
        self.outcome.offered += rest as u64;
    }

    fn handle_arrival(&mut self, now: u64) {
        let workspace = self.workspaces.sample(&mut self.random);
        let any_router = self.random.random_range(0..self.experiment.routers);
        let bad = self.random.random::<f64>() < self.scenario.bad_share(workspace, now);
        let answer_ms = self.answer_ms();
        let router = if self.scenario.disjoint {
            workspace % self.experiment.routers
        } else {
            any_router
        };
        self.outcome.offered += 1;
        if !self.fleet.try_serve(router, workspace) {
            return;
        }
        self.outcome.served += 1;
        self.outcome.bad += u64::from(bad);
        self.unrated += 1;
        self.outcome.most_unrated = self.outcome.most_unrated.max(self.unrated);
        let (delay_ms, outcome) = match (self.scenario.ratings_down, bad) {
            (true, _) => (self.experiment.give_up_ms, AnswerOutcome::GivenUp),
            (false, true) => (self.scenario.rating_delay_ms, AnswerOutcome::Bad),
            (false, false) => (self.scenario.rating_delay_ms, AnswerOutcome::Good),
        };
        let due = (now + answer_ms + delay_ms, router, workspace, outcome);
        self.due.push(Reverse(due));
    }

    fn apply_due_ratings(&mut self, now: u64) {
        while let Some(Reverse((due, ..))) = self.due.peek()
            && *due <= now
            && let Some(Reverse((_, router, workspace, outcome))) = self.due.pop()
        {
            self.unrated -= 1;
            self.fleet.record(router, workspace, outcome, now);
        }
    }

    /// Exponentially distributed time to the next request over all routers, in milliseconds.
    fn gap_ms(&mut self) -> f64 {
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        -uniform.ln() * 1_000.0 / self.experiment.requests_per_second
    }

    /// Duration of an answer in milliseconds, uniform from half to one and a half times the mean.
    fn answer_ms(&mut self) -> u64 {
        let mean = self.experiment.answer_ms;
        self.random.random_range(mean / 2..=mean + mean / 2)
    }
}
