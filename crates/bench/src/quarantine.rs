//! Experiments of the kind `quarantine`: upstream crashes caused by poison requests.
//!
//! A poison request crashes each upstream that runs it; all other requests are harmless.

mod quarantine_fleet;
mod quarantine_outcome;
mod quarantine_run;
mod quarantine_variant;

use ferry_decisions::value_type;

use crate::experiment::ExperimentKind;
use crate::report::{ExperimentReport, ReportTable};
use crate::seed_runs::run_seeds;
use quarantine_outcome::QuarantineOutcome;
use quarantine_run::QuarantineRun;

pub use quarantine_variant::QuarantineVariant;

value_type! {
    /// Settings of the experiment.
    pub struct QuarantineExperiment {
        /// Always `quarantine`.
        pub kind: ExperimentKind,
        /// Name of the experiment.
        pub name: String,
        /// Runs for each scenario and variant, each with its own seed.
        pub runs: u64,
        /// Length of a run, in seconds.
        pub duration_s: u64,
        /// Number of routers.
        pub routers: usize,
        /// Number of upstreams.
        pub upstreams: usize,
        /// Harmless requests per second over all routers.
        pub requests_per_second: f64,
        /// Share of harmless requests that are not idempotent.
        pub not_idempotent_share: f64,
        /// Mean time of an answer, in milliseconds.
        pub answer_ms: u64,
        /// Time within which a request must be answered, in milliseconds.
        pub deadline_ms: u64,
        /// Time for which an upstream is unavailable after a crash, in milliseconds.
        pub restart_ms: u64,
        /// Maximum time from the start of a poison request to the crash, in milliseconds.
        pub crash_ms: u64,
        /// Maximum attempts of a request under the variant `no_containment`; the others set no
        /// maximum.
        pub tries: u32,
        /// Number of times that the caller sends a poison request.
        pub sends: u32,
        /// Time from the failure of a poison request until its caller sends it again, in
        /// milliseconds.
        pub resend_ms: u64,
        /// Interval between messages to peers, in milliseconds.
        pub peer_interval_ms: u64,
        /// Policies to compare.
        pub variants: Vec<QuarantineVariant>,
        /// Scenarios in which each policy is simulated.
        pub scenarios: Vec<QuarantineScenario>,
    }

    /// Poison requests of a run.
    pub struct QuarantineScenario {
        /// Name of the scenario.
        pub name: String,
        /// Number of distinct poison requests.
        pub poisons: u32,
        /// Time between the first sends of successive poison requests, in milliseconds.
        pub apart_ms: u64,
        /// Whether poison requests are idempotent, so that routers may retry them.
        pub poison_idempotent: bool,
    }
}

/// Simulates every variant in every scenario.
pub fn simulate(experiment: &QuarantineExperiment) -> ExperimentReport {
    let scenarios = experiment.scenarios.iter();
    let tables = scenarios.map(|scenario| simulate_scenario(experiment, scenario));
    ExperimentReport::from_tables(&experiment.name, experiment.runs, tables)
}

fn simulate_scenario(
    experiment: &QuarantineExperiment,
    scenario: &QuarantineScenario,
) -> ReportTable {
    let mut table = ReportTable::new(&scenario.name, &QuarantineOutcome::COLUMNS);
    for variant in &experiment.variants {
        let outcomes = run_seeds(experiment.runs, |seed| {
            QuarantineRun::new(experiment, scenario, *variant, seed).simulate()
        });
        let figures = QuarantineOutcome::figures(&outcomes, scenario.poisons);
        table.push(variant.label(), &figures);
    }
    table
}
