//! Experiments of the kind `guard`: bad answers served before a roll-out stops.

mod guard_fleet;
mod guard_run;
mod guard_variant;
mod run_outcome;

use ferry_decisions::config::RolloutSpec;
use ferry_decisions::value_type;

use crate::experiment::ExperimentKind;
use crate::report::{ExperimentReport, ReportTable};
use crate::seed_runs::play_seeds;
use guard_run::GuardRun;
use run_outcome::RunOutcome;

pub use guard_variant::GuardVariant;

value_type! {
    /// Settings of the experiment.
    pub struct GuardExperiment {
        /// Always `guard`.
        pub kind: ExperimentKind,
        /// Name of the experiment.
        pub name: String,
        /// Roll-outs played for each scenario and variant, each with a seed of its own.
        pub runs: u64,
        /// Length of a roll-out, in seconds.
        pub duration_s: u64,
        /// Routers.
        pub routers: usize,
        /// Weight of each workspace's traffic.
        pub workspace_weights: Vec<f64>,
        /// Requests per second that the fleet would hand to the candidate.
        pub requests_per_second: f64,
        /// Mean time from the dispatch to the end of an answer, in milliseconds.
        pub answer_ms: u64,
        /// Time between two messages to a peer, in milliseconds.
        pub peer_interval_ms: u64,
        /// Time until a peer has a message, in milliseconds.
        pub peer_delay_ms: u64,
        /// Time until every router has read an appended record, in milliseconds.
        pub log_delay_ms: u64,
        /// Time after which a missing rating is given up, in milliseconds.
        pub give_up_ms: u64,
        /// Bounds of the roll-out.
        pub rollout: RolloutSpec,
        /// Ways of stopping that are compared.
        pub variants: Vec<GuardVariant>,
        /// What happens to the candidate.
        pub scenarios: Vec<GuardScenario>,
    }

    /// What happens to the candidate.
    pub struct GuardScenario {
        /// Name of the scenario.
        pub name: String,
        /// Share of bad answers at the start.
        pub bad_start: f64,
        /// Share of bad answers after the drift.
        pub bad_end: f64,
        /// Time until the share begins to move, in seconds.
        #[serde(default)]
        pub drift_from_s: u64,
        /// Time over which the share moves from start to end, in seconds.
        #[serde(default)]
        pub drift_s: u64,
        /// The one workspace that gets bad answers; the others get `good_share`.
        #[serde(default)]
        pub bad_workspace: Option<usize>,
        /// Share of bad answers of the other workspaces.
        #[serde(default)]
        pub good_share: f64,
        /// Time from the end of an answer to its rating, in milliseconds.
        pub rating_delay_ms: u64,
        /// Whether no rating ever comes.
        #[serde(default)]
        pub ratings_down: bool,
        /// Whether the log takes no record.
        #[serde(default)]
        pub log_out: bool,
        /// Whether each workspace reaches one router only.
        #[serde(default)]
        pub disjoint: bool,
    }
}

impl GuardScenario {
    /// Share of bad answers for `workspace` at `now_ms` milliseconds into the roll-out.
    fn bad_share(&self, workspace: usize, now_ms: u64) -> f64 {
        if self.bad_workspace.is_some_and(|bad| bad != workspace) {
            return self.good_share;
        }
        let drifted_ms = now_ms as f64 - (self.drift_from_s * 1_000) as f64;
        let progress = match self.drift_s {
            _ if drifted_ms < 0.0 => 0.0,
            0 => 1.0,
            drift_s => (drifted_ms / (drift_s * 1_000) as f64).min(1.0),
        };
        self.bad_start + (self.bad_end - self.bad_start) * progress
    }
}

/// Plays every variant through every scenario.
pub fn play(experiment: &GuardExperiment) -> ExperimentReport {
    let scenarios = experiment.scenarios.iter();
    let tables = scenarios.map(|scenario| play_scenario(experiment, scenario));
    ExperimentReport::of_tables(&experiment.name, experiment.runs, tables)
}

fn play_scenario(experiment: &GuardExperiment, scenario: &GuardScenario) -> ReportTable {
    let mut table = ReportTable::new(&scenario.name, &RunOutcome::COLUMNS);
    for variant in &experiment.variants {
        let outcomes = play_seeds(experiment.runs, |seed| {
            GuardRun::new(experiment, scenario, *variant, seed).play()
        });
        table.push(variant.label(), &RunOutcome::figures(&outcomes));
        eprintln!("{}: {} done", scenario.name, variant.label());
    }
    table
}
