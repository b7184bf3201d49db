//! Errors of the experiment tool.

use std::path::Path;

use ferry_kernel::settings::SettingsError;
use miette::Diagnostic;

use crate::load::LoadError;

/// Why an experiment was not played to its end.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum BenchError {
    /// The experiment file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    BadFile(#[from] SettingsError),
    /// A load run did not take place.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Load(#[from] LoadError),
    /// The system refuses threads.
    #[error("cannot start threads: {0}; raise the limit of processes")]
    NoThreads(std::io::Error),
    /// An output file cannot be written.
    #[error("cannot write {path}: {reason}; name a path in a directory that exists")]
    Unwritable {
        /// Path as given.
        path: String,
        /// Message of the operating system.
        reason: String,
    },
    /// The plot cannot be drawn.
    #[error("cannot draw the plot: {0}; run again without --svg")]
    Plot(String),
}

impl BenchError {
    /// The file at `path` cannot be written.
    pub fn unwritable(path: &Path, error: &std::io::Error) -> Self {
        Self::Unwritable {
            path: path.display().to_string(),
            reason: error.to_string(),
        }
    }
}
