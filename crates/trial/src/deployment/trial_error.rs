//! Why the trial cannot be played.

use std::time::Duration;

use ferry_kernel::http::HttpError;
use ferry_kernel::settings::SettingsError;
use ferry_operator::publish::PublishError;
use ferry_router::daemon::StartError as RouterError;
use ferry_standin::StartError as StandinError;
use miette::Diagnostic;

/// Why the trial cannot be played.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum TrialError {
    /// A port cannot be bound, or threads cannot be started.
    #[error("the operating system refused a port or a thread: {0}; end other programs")]
    System(#[from] std::io::Error),
    /// A stand-in does not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A router does not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Router(#[from] RouterError),
    /// A router ended during its start.
    #[error("a router ended during its start: {0}; see its message above")]
    RouterEnded(#[from] tokio::task::JoinError),
    /// Settings that the trial made are refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The routers did not become ready.
    #[error("the routers were not ready within {0:?}; free the machine's cores and try again")]
    NotReady(Duration),
    /// No router shows its configuration.
    #[error(transparent)]
    Unreachable(#[from] HttpError),
    /// A change was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Publish(#[from] PublishError),
}
