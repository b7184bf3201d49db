//! Experiment files: the kind decides what the rest of the file holds.

use std::path::Path;

use ferry_decisions::closed_set;
use ferry_kernel::settings;
use serde::Deserialize;

use crate::bench_error::BenchError;
use crate::cascade;
use crate::guard;
use crate::limits;
use crate::overload;
use crate::quarantine;
use crate::report::ExperimentReport;

closed_set! {
    /// What an experiment is about.
    pub enum ExperimentKind {
        /// Upstream choice, admission and retries at and beyond capacity.
        Overload,
        /// Limits and fair shares of workspaces over several routers.
        Limits,
        /// Bad answers served before a roll-out stops.
        Guard,
        /// Cost, quality and latency of choosing stages.
        Cascade,
        /// Upstreams lost to requests that crash them.
        Quarantine,
    }
}

/// The one key that all experiment files share; each kind checks the others itself.
#[derive(Debug, Deserialize)]
struct ExperimentHeader {
    kind: ExperimentKind,
}

/// Plays the experiment in the file at `path`.
///
/// # Errors
///
/// Fails when the file does not describe an experiment.
pub fn play_file(path: &Path) -> Result<ExperimentReport, BenchError> {
    let header: ExperimentHeader = settings::read_file(path)?;
    let report = match header.kind {
        ExperimentKind::Overload => overload::play(&settings::read_file(path)?),
        ExperimentKind::Limits => limits::play(&settings::read_file(path)?),
        ExperimentKind::Guard => guard::play(&settings::read_file(path)?),
        ExperimentKind::Cascade => cascade::play(&settings::read_file(path)?),
        ExperimentKind::Quarantine => quarantine::play(&settings::read_file(path)?),
    };
    Ok(report)
}
