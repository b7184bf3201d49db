//! Errors that prevent a load run.

use ferry_kernel::settings::SettingsError;
use miette::Diagnostic;

/// Errors of a load run.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum LoadError {
    /// The load file cannot be read or holds an invalid value.
    #[error(transparent)]
    #[diagnostic(transparent)]
    BadFile(#[from] SettingsError),
    /// A component of the deployment did not start.
    #[error(
        "the {component} did not start: {reason}; free its port or raise the limit of open files"
    )]
    NotStarted {
        /// Name of the component.
        component: &'static str,
        /// Error message of the component.
        reason: String,
    },
    /// The routers did not become ready within this number of seconds.
    #[error("the routers were not ready within {0} s; run fewer of them or fewer engines")]
    NotReady(u64),
}

impl LoadError {
    /// Creates the error for a `component` that did not start.
    pub(super) fn not_started(component: &'static str, reason: &impl ToString) -> Self {
        let reason = reason.to_string();
        Self::NotStarted { component, reason }
    }
}
