//! Experiments of the kind `guard`: bad answers served before the guard stops a roll-out.

mod guard_fleet;
mod guard_outcome;
mod guard_run;
mod guard_variant;

use ferry_decisions::config::RolloutSpec;
use ferry_decisions::value_type;

use crate::experiment::ExperimentKind;
use crate::report::{ExperimentReport, ReportTable};
use crate::seed_runs::run_seeds;
use guard_outcome::GuardOutcome;
use guard_run::GuardRun;

pub use guard_variant::GuardVariant;

value_type! {
    /// Settings of the experiment.
    pub struct GuardExperiment {
        /// Always `guard`.
        pub kind: ExperimentKind,
        /// Name of the experiment.
        pub name: String,
        /// Roll-outs simulated for each scenario and variant, each with its own seed.
        pub runs: u64,
        /// Length of a roll-out, in seconds.
        pub duration_s: u64,
        /// Number of routers.
        pub routers: usize,
        /// Weight of each workspace's traffic.
        pub workspace_weights: Vec<f64>,
        /// Requests per second that all routers together offer to the candidate version.
        pub requests_per_second: f64,
        /// Mean time from dispatch to the end of the answer, in milliseconds.
        pub answer_ms: u64,
        /// Interval between messages to a peer, in milliseconds.
        pub peer_interval_ms: u64,
        /// Delivery delay of a message to a peer, in milliseconds.
        pub peer_delay_ms: u64,
        /// Time until every router has read a record appended to the log, in milliseconds.
        pub log_delay_ms: u64,
        /// Time after which a router stops waiting for a rating, in milliseconds.
        pub give_up_ms: u64,
        /// Specification of the roll-out, including its limit on unrated answers.
        pub rollout: RolloutSpec,
        /// Stopping policies to compare.
        pub variants: Vec<GuardVariant>,
        /// Scenarios in which each policy is simulated.
        pub scenarios: Vec<GuardScenario>,
    }

    /// Answer quality of the candidate version and the faults during a roll-out.
    pub struct GuardScenario {
        /// Name of the scenario.
        pub name: String,
        /// Share of bad answers at the start.
        pub bad_start: f64,
        /// Share of bad answers at the end of the drift.
        pub bad_end: f64,
        /// Time at which the drift begins, in seconds.
        #[serde(default)]
        pub drift_from_s: u64,
        /// Duration of the drift from `bad_start` to `bad_end`, in seconds; 0 changes the share at
        /// once.
        #[serde(default)]
        pub drift_s: u64,
        /// Index of the only workspace with the shares above; all workspaces have them when absent.
        #[serde(default)]
        pub bad_workspace: Option<usize>,
        /// Share of bad answers of the other workspaces, when `bad_workspace` is given.
        #[serde(default)]
        pub good_share: f64,
        /// Time from the end of an answer to its rating, in milliseconds.
        pub rating_delay_ms: u64,
        /// Whether ratings are unavailable for the whole run.
        #[serde(default)]
        pub ratings_down: bool,
        /// Whether the log is unavailable, so that no record can be appended.
        #[serde(default, rename = "log_out")]
        pub log_unavailable: bool,
        /// Whether each workspace sends all its requests to a single router.
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

/// Simulates every variant in every scenario.
pub fn simulate(experiment: &GuardExperiment) -> ExperimentReport {
    let scenarios = experiment.scenarios.iter();
    let tables = scenarios.map(|scenario| simulate_scenario(experiment, scenario));
    ExperimentReport::from_tables(&experiment.name, experiment.runs, tables)
}

fn simulate_scenario(experiment: &GuardExperiment, scenario: &GuardScenario) -> ReportTable {
    let mut table = ReportTable::new(&scenario.name, &GuardOutcome::COLUMNS);
    for variant in &experiment.variants {
        let outcomes = run_seeds(experiment.runs, |seed| {
            GuardRun::new(experiment, scenario, *variant, seed).simulate()
        });
        table.push(variant.label(), &GuardOutcome::figures(&outcomes));
        eprintln!("{}: finished variant {}", scenario.name, variant.label());
    }
    table
}
