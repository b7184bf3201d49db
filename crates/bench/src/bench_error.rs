//! Errors of the experiment tool.

use std::path::Path;

use ferry_kernel::settings::SettingsError;
use miette::Diagnostic;

use crate::load::LoadError;

/// Reasons why an experiment did not complete.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum BenchError {
    /// The experiment file is missing or invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    BadFile(#[from] SettingsError),
    /// A load run could not be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Load(#[from] LoadError),
    /// The operating system did not start the worker threads.
    #[error("cannot start the worker threads: {0}; raise the process limit")]
    ThreadsUnavailable(std::io::Error),
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
    /// Creates the error for an output file at `path` that cannot be written.
    pub fn unwritable(path: &Path, error: &std::io::Error) -> Self {
        Self::Unwritable {
            path: path.display().to_string(),
            reason: error.to_string(),
        }
    }
}
