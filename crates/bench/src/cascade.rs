//! Experiments of the kind `cascade`: cost, quality and latency of choosing stages.

mod cascade_outcome;
mod cascade_router;
mod cascade_run;
mod cascade_variant;

use ferry_decisions::value_type;

use crate::experiment::ExperimentKind;
use crate::report::{ExperimentReport, ReportTable};
use crate::seed_runs::play_seeds;
use cascade_outcome::CascadeOutcome;
use cascade_run::CascadeRun;

pub use cascade_variant::CascadeVariant;

value_type! {
    /// Settings of the experiment.
    pub struct CascadeExperiment {
        /// Always `cascade`.
        pub kind: ExperimentKind,
        /// Name of the experiment.
        pub name: String,
        /// Runs for each scenario and variant, each with a seed of its own.
        pub runs: u64,
        /// Length of a run, in seconds.
        pub duration_s: u64,
        /// Routers.
        pub routers: usize,
        /// Requests per second over the fleet.
        pub requests_per_second: f64,
        /// Share of requests that are not idempotent.
        pub not_idempotent_share: f64,
        /// Stages, cheapest first.
        pub stages: Vec<StageModel>,
        /// Classes of requests.
        pub classes: Vec<ClassModel>,
        /// Policies that are compared.
        pub variants: Vec<CascadeVariant>,
        /// What happens.
        pub scenarios: Vec<CascadeScenario>,
    }

    /// A stage's model.
    pub struct StageModel {
        /// Price of an answer.
        pub cost: f64,
        /// Mean time of an answer, in milliseconds.
        pub latency_ms: u64,
    }

    /// A class of requests.
    pub struct ClassModel {
        /// Name of the class.
        pub name: String,
        /// Weight of its traffic.
        pub weight: f64,
        /// Share of requests that each stage answers well.
        pub pass: Vec<f64>,
        /// The same shares in the second half of a run, when they differ.
        #[serde(default)]
        pub later_pass: Option<Vec<f64>>,
    }

    /// What happens during a run.
    pub struct CascadeScenario {
        /// Name of the scenario.
        pub name: String,
        /// Time from the end of an answer to its rating, in milliseconds.
        pub rating_ms: u64,
        /// Seconds from the start during which no rating comes, from and to.
        #[serde(default)]
        pub ratings_down_s: Option<(u64, u64)>,
        /// Deadline of each request, in milliseconds.
        pub deadline_ms: u64,
        /// Whether the classes' later pass shares apply in the second half.
        #[serde(default)]
        pub drift: bool,
    }
}

/// Plays every variant through every scenario.
pub fn play(experiment: &CascadeExperiment) -> ExperimentReport {
    let scenarios = experiment.scenarios.iter();
    let tables = scenarios.map(|scenario| play_scenario(experiment, scenario));
    ExperimentReport::of_tables(&experiment.name, experiment.runs, tables)
}

fn play_scenario(experiment: &CascadeExperiment, scenario: &CascadeScenario) -> ReportTable {
    let mut table = ReportTable::new(&scenario.name, &CascadeOutcome::COLUMNS);
    for variant in &experiment.variants {
        let outcomes = play_seeds(experiment.runs, |seed| {
            CascadeRun::new(experiment, scenario, *variant, seed).play()
        });
        table.push(variant.label(), &CascadeOutcome::figures(&outcomes));
    }
    table
}
