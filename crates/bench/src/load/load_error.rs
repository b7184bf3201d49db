//! Why a load run did not take place.

use ferry_kernel::settings::SettingsError;
use miette::Diagnostic;

/// Errors of a load run.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum LoadError {
    /// A value of the file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    BadFile(#[from] SettingsError),
    /// A part of the deployment did not start.
    #[error("the {part} does not start: {reason}; free its port or raise the limit of open files")]
    NotStarted {
        /// Which part.
        part: &'static str,
        /// Message of the part.
        reason: String,
    },
    /// The routers did not become ready.
    #[error("the routers were not ready within {0} s; run fewer of them or fewer engines")]
    NotReady(u64),
}

impl LoadError {
    /// The part `part` did not start.
    pub(super) fn not_started(part: &'static str, reason: &impl ToString) -> Self {
        let reason = reason.to_string();
        Self::NotStarted { part, reason }
    }
}
