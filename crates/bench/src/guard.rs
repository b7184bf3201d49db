//! Experiments of the kind `guard`.

use ferry_decisions::value_type;

use crate::experiment::ExperimentKind;
use crate::report::ExperimentReport;

value_type! {
    /// Settings of the experiment.
    pub struct GuardExperiment {
        /// Always `guard`.
        pub kind: ExperimentKind,
        /// Name of the experiment.
        pub name: String,
        /// Seeds to play.
        pub seeds: Vec<u64>,
    }
}

/// Plays `experiment` for each seed.
pub fn play(experiment: &GuardExperiment) -> ExperimentReport {
    ExperimentReport {
        name: experiment.name.clone(),
        seeds: experiment.seeds.clone(),
        tables: Vec::new(),
        plots: Vec::new(),
    }
}
