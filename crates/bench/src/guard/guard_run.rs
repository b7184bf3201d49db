//! One roll-out on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ferry_decisions::guard::AnswerOutcome;
use rand::distr::weighted::WeightedIndex;
use rand::prelude::*;
use rand::rngs::StdRng;

use super::guard_fleet::GuardFleet;
use super::{GuardExperiment, GuardScenario, GuardVariant, RunOutcome};

/// Step of the virtual clock, in milliseconds.
const STEP_MS: u64 = 5;

/// When which answer's rating arrives or is given up: time, router, workspace, outcome.
type DueRating = Reverse<(u64, usize, usize, AnswerOutcome)>;

/// One roll-out.
pub(super) struct GuardRun<'a> {
    experiment: &'a GuardExperiment,
    scenario: &'a GuardScenario,
    fleet: GuardFleet,
    random: StdRng,
    workspaces: WeightedIndex<f64>,
    due: BinaryHeap<DueRating>,
    unrated: u64,
    outcome: RunOutcome,
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
            outcome: RunOutcome::default(),
        }
    }

    pub(super) fn play(mut self) -> RunOutcome {
        let end_ms = self.experiment.duration_s * 1_000;
        let mut next_arrival = self.gap_ms();
        for now in (0..end_ms).step_by(STEP_MS as usize) {
            self.fleet.deliver(now);
            self.take_ratings(now);
            while next_arrival <= now as f64 {
                self.arrive(now);
                next_arrival += self.gap_ms();
            }
            if now % self.experiment.peer_interval_ms < STEP_MS {
                self.fleet.exchange(now);
            }
            if self.note_stop(now) {
                break;
            }
        }
        self.outcome
    }

    /// Notes how many routers stopped; true once all did.
    fn note_stop(&mut self, now: u64) -> bool {
        let stopped = self.fleet.stopped();
        self.outcome.tripped |= stopped > 0;
        let all = stopped == self.experiment.routers;
        if all {
            self.outcome.stopped_ms = Some(now);
            self.count_rest(now);
        }
        all
    }

    /// Counts the requests that would have followed, so that shares compare.
    fn count_rest(&mut self, now: u64) {
        let rest_ms = (self.experiment.duration_s * 1_000 - now) as f64;
        let rest = rest_ms / 1_000.0 * self.experiment.requests_per_second;
        self.outcome.offered += rest as u64;
    }

    fn arrive(&mut self, now: u64) {
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
        if !self.fleet.serve(router, workspace) {
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

    fn take_ratings(&mut self, now: u64) {
        while let Some(Reverse((due, ..))) = self.due.peek()
            && *due <= now
            && let Some(Reverse((_, router, workspace, outcome))) = self.due.pop()
        {
            self.unrated -= 1;
            self.fleet.record(router, workspace, outcome, now);
        }
    }

    /// Time to the next request of the fleet, in milliseconds.
    fn gap_ms(&mut self) -> f64 {
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        -uniform.ln() * 1_000.0 / self.experiment.requests_per_second
    }

    /// Time to the end of an answer: uniform within half of the mean around it.
    fn answer_ms(&mut self) -> u64 {
        let mean = self.experiment.answer_ms;
        self.random.random_range(mean / 2..=mean + mean / 2)
    }
}
