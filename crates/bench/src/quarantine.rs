//! Experiments of the kind `quarantine`: upstreams lost to requests that crash them.

mod quarantine_fleet;
mod quarantine_outcome;
mod quarantine_run;
mod quarantine_variant;

use ferry_decisions::value_type;

use crate::experiment::ExperimentKind;
use crate::report::{ExperimentReport, ReportTable};
use crate::seed_runs::play_seeds;
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
        /// Runs for each scenario and variant, each with a seed of its own.
        pub runs: u64,
        /// Length of a run, in seconds.
        pub duration_s: u64,
        /// Routers.
        pub routers: usize,
        /// Upstreams.
        pub upstreams: usize,
        /// Innocent requests per second over the fleet.
        pub requests_per_second: f64,
        /// Share of innocent requests that are not idempotent.
        pub not_idempotent_share: f64,
        /// Mean time of an answer, in milliseconds.
        pub answer_ms: u64,
        /// Time within which a request must be answered, in milliseconds.
        pub deadline_ms: u64,
        /// Time for which a crashed upstream is away, in milliseconds.
        pub restart_ms: u64,
        /// Time from the start of a poison request to the crash, in milliseconds, at most.
        pub crash_ms: u64,
        /// Most tries of a request where nothing else bounds them.
        pub tries: u32,
        /// Sends of a poison request by its caller.
        pub sends: u32,
        /// Time from the failure of a poison request to its caller's next send, in milliseconds.
        pub resend_ms: u64,
        /// Time between two messages to peers, in milliseconds.
        pub peer_interval_ms: u64,
        /// Policies that are compared.
        pub variants: Vec<QuarantineVariant>,
        /// What happens.
        pub scenarios: Vec<QuarantineScenario>,
    }

    /// What happens during a run.
    pub struct QuarantineScenario {
        /// Name of the scenario.
        pub name: String,
        /// Different poison requests.
        pub poisons: u32,
        /// Time between the first sends of two of them, in milliseconds.
        pub apart_ms: u64,
        /// Whether routers may try a poison request again themselves.
        pub poison_idempotent: bool,
    }
}

/// Plays every variant through every scenario.
pub fn play(experiment: &QuarantineExperiment) -> ExperimentReport {
    let scenarios = experiment.scenarios.iter();
    let tables = scenarios.map(|scenario| play_scenario(experiment, scenario));
    ExperimentReport::of_tables(&experiment.name, experiment.runs, tables)
}

fn play_scenario(experiment: &QuarantineExperiment, scenario: &QuarantineScenario) -> ReportTable {
    let mut table = ReportTable::new(&scenario.name, &QuarantineOutcome::COLUMNS);
    for variant in &experiment.variants {
        let outcomes = play_seeds(experiment.runs, |seed| {
            QuarantineRun::new(experiment, scenario, *variant, seed).play()
        });
        let figures = QuarantineOutcome::figures(&outcomes, scenario.poisons);
        table.push(variant.label(), &figures);
    }
    table
}
