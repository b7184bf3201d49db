//! Errors that end the trial.

use std::time::Duration;

use ferry_kernel::http::HttpError;
use ferry_kernel::settings::SettingsError;
use ferry_operator::publish::PublishError;
use ferry_router::daemon::StartError as RouterError;
use ferry_standin::StartError as StandinError;
use miette::Diagnostic;

/// Error that ends the trial.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum TrialError {
    /// A port cannot be bound, or threads cannot be started.
    #[error("the operating system refused a port or a thread: {0}; end other programs")]
    System(#[from] std::io::Error),
    /// A stand-in did not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A router did not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Router(#[from] RouterError),
    /// A router's task panicked or was cancelled during its start.
    #[error("a router ended during its start: {0}; see its message above")]
    RouterEnded(#[from] tokio::task::JoinError),
    /// Settings or the sample configuration of the trial are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The routers did not become ready within this time.
    #[error("the routers were not ready within {0:?}; free the machine's cores and try again")]
    NotReady(Duration),
    /// No router returned its configuration.
    #[error(transparent)]
    Unreachable(#[from] HttpError),
    /// A change was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Publish(#[from] PublishError),
}
