//! Experiments of the kind `cascade`: cost, quality and latency of the policies that choose stages.

mod cascade_outcome;
mod cascade_router;
mod cascade_run;
mod cascade_variant;

use ferry_decisions::value_type;

use crate::experiment::ExperimentKind;
use crate::report::{ExperimentReport, ReportTable};
use crate::seed_runs::run_seeds;
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
        /// Runs for each scenario and variant, each with its own seed.
        pub runs: u64,
        /// Length of a run, in seconds.
        pub duration_s: u64,
        /// Number of routers.
        pub routers: usize,
        /// Requests per second over all routers.
        pub requests_per_second: f64,
        /// Share of requests that are not idempotent.
        pub not_idempotent_share: f64,
        /// Stages, cheapest first.
        pub stages: Vec<StageModel>,
        /// Classes of requests.
        pub classes: Vec<ClassModel>,
        /// Policies to compare.
        pub variants: Vec<CascadeVariant>,
        /// Scenarios in which each policy is simulated.
        pub scenarios: Vec<CascadeScenario>,
    }

    /// Simulated model of one stage.
    pub struct StageModel {
        /// Cost of an answer.
        pub cost: f64,
        /// Mean time of an answer, in milliseconds.
        pub latency_ms: u64,
    }

    /// Simulated behaviour of one class of requests.
    pub struct ClassModel {
        /// Name of the class.
        pub name: String,
        /// Relative weight of its traffic.
        pub weight: f64,
        /// For each stage, the share of requests that it answers well.
        pub pass: Vec<f64>,
        /// Shares in the second half of a run, in scenarios with `drift`; `pass` applies when
        /// absent.
        #[serde(default)]
        pub later_pass: Option<Vec<f64>>,
    }

    /// Rating delay, deadline and faults of a run.
    pub struct CascadeScenario {
        /// Name of the scenario.
        pub name: String,
        /// Time from the end of an answer to its rating, in milliseconds.
        pub rating_ms: u64,
        /// Start and end of an interval without ratings, in seconds from the start of the run.
        #[serde(default)]
        pub ratings_down_s: Option<(u64, u64)>,
        /// Deadline of each request, in milliseconds.
        pub deadline_ms: u64,
        /// Whether `later_pass` of the classes applies in the second half of the run.
        #[serde(default)]
        pub drift: bool,
    }
}

/// Simulates every variant in every scenario.
pub fn simulate(experiment: &CascadeExperiment) -> ExperimentReport {
    let scenarios = experiment.scenarios.iter();
    let tables = scenarios.map(|scenario| simulate_scenario(experiment, scenario));
    ExperimentReport::from_tables(&experiment.name, experiment.runs, tables)
}

fn simulate_scenario(experiment: &CascadeExperiment, scenario: &CascadeScenario) -> ReportTable {
    let mut table = ReportTable::new(&scenario.name, &CascadeOutcome::COLUMNS);
    for variant in &experiment.variants {
        let outcomes = run_seeds(experiment.runs, |seed| {
            CascadeRun::new(experiment, scenario, *variant, seed).simulate()
        });
        table.push(variant.label(), &CascadeOutcome::figures(&outcomes));
    }
    table
}
