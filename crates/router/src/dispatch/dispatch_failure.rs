//! Failure of a dispatch: its kind, its message, and the refusal derived from it.

use std::time::Duration;

use ferry_decisions::retry::{RunState, UpstreamFailure};
use ferry_kernel::http::HttpError;
use hyper::StatusCode;

use crate::caller::{CallerRefusal, RefusalKind};

/// `Retry-After` when the failed upstream gave none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error of a dispatch that returned no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{detail}")]
pub struct DispatchFailure {
    /// Kind of the failure, which decides whether the request is retried.
    pub kind: UpstreamFailure,
    /// Message for the caller: what happened and the remedy.
    pub detail: String,
    /// Time after which the upstream expects to have capacity; `None` when it gave no time.
    pub retry_after: Option<Duration>,
}

impl DispatchFailure {
    /// Creates a failure without a retry time.
    pub fn new(kind: UpstreamFailure, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The upstream failed during its answer.
    pub fn broken_answer(reason: &str) -> Self {
        let detail = format!("the upstream failed during its answer: {reason}");
        Self::new(UpstreamFailure::BrokenInAnswer, detail)
    }

    /// The deadline passed before the upstream answered.
    pub fn deadline_passed() -> Self {
        Self::new(
            UpstreamFailure::TimedOut,
            "the deadline passed before the upstream answered; send a longer Ferry-Deadline-Ms",
        )
    }

    /// The upstream stated that it did not run the request.
    pub fn not_run(status: StatusCode, retry_after: Option<Duration>) -> Self {
        let kind = match status {
            StatusCode::TOO_MANY_REQUESTS => UpstreamFailure::QueueFull,
            StatusCode::SERVICE_UNAVAILABLE => UpstreamFailure::Leaving,
            _ => UpstreamFailure::RefusedNotRun,
        };
        let detail = format!("the upstream did not run the request ({status}); send it again");
        Self {
            retry_after,
            ..Self::new(kind, detail)
        }
    }

    /// The upstream answered with an error status that does not state whether the request ran.
    pub fn error_status(status: StatusCode, body: &str) -> Self {
        if status.is_client_error() {
            let detail = format!("the upstream refused the request with {status}: {body}");
            return Self::new(UpstreamFailure::BadRequest, detail);
        }
        let detail = format!("the upstream failed with {status}: {body}");
        Self::new(UpstreamFailure::ServerError, detail)
    }

    /// Whether the request ran, as far as the failure shows.
    pub fn run_state(&self) -> RunState {
        self.kind.run_state()
    }

    /// Converts the failure into the refusal sent when no other upstream is tried.
    pub fn to_refusal(&self) -> CallerRefusal {
        let detail = self.detail.as_str();
        let retry_after = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        let refusal = match self.kind {
            UpstreamFailure::ConnectFailed
            | UpstreamFailure::QueueFull
            | UpstreamFailure::Leaving
            | UpstreamFailure::RefusedNotRun => {
                CallerRefusal::retry_after(RefusalKind::NoUpstream, detail, retry_after)
            }
            UpstreamFailure::BrokenBeforeAnswer
            | UpstreamFailure::PathLost
            | UpstreamFailure::BrokenInAnswer
            | UpstreamFailure::ServerError
            | UpstreamFailure::MalformedAnswer => {
                CallerRefusal::retry_after(RefusalKind::UpstreamFailed, detail, retry_after)
            }
            UpstreamFailure::BadRequest | UpstreamFailure::UnknownModel => {
                CallerRefusal::permanent(RefusalKind::UpstreamRefused, detail)
            }
            UpstreamFailure::TimedOut => {
                CallerRefusal::permanent(RefusalKind::DeadlinePassed, detail)
            }
        };
        refusal.with_run(self.run_state())
    }
}

impl From<HttpError> for DispatchFailure {
    fn from(error: HttpError) -> Self {
        let kind = match &error {
            HttpError::Connect { .. } | HttpError::BadRequest { .. } => {
                UpstreamFailure::ConnectFailed
            }
            HttpError::Timeout { .. } => return Self::deadline_passed(),
            HttpError::Broken { .. } => UpstreamFailure::BrokenBeforeAnswer,
            HttpError::NoAnswer { .. } | HttpError::Unreadable { .. } => {
                UpstreamFailure::MalformedAnswer
            }
            HttpError::Status { .. } => UpstreamFailure::ServerError,
        };
        Self::new(kind, error.to_string())
    }
}
