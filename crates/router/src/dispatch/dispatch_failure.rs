//! A dispatch that gave no answer: its kind, its message, and the refusal made from it.

use std::time::Duration;

use ferry_decisions::retry::{RunState, UpstreamFailure};
use ferry_kernel::http::HttpError;
use hyper::StatusCode;

use crate::caller::{CallerRefusal, RefusalKind};

/// When to come back after all upstreams refused.
const UPSTREAM_PAUSE: Duration = Duration::from_secs(1);

/// Why a dispatch gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{detail}")]
pub struct DispatchFailure {
    /// Kind, on which retries depend.
    pub kind: UpstreamFailure,
    /// What happened and what to do about it.
    pub detail: String,
    /// When the upstream expects to have room.
    pub retry_after: Option<Duration>,
}

impl DispatchFailure {
    /// A failure without a time to come back.
    pub fn new(kind: UpstreamFailure, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The answer broke off after it had begun.
    pub fn broken_answer(reason: &str) -> Self {
        let detail = format!("the upstream failed during its answer: {reason}");
        Self::new(UpstreamFailure::BrokenInAnswer, detail)
    }

    /// The deadline passed before the answer.
    pub fn deadline_passed() -> Self {
        Self::new(
            UpstreamFailure::TimedOut,
            "the deadline passed before the upstream answered; send a longer Ferry-Deadline-Ms",
        )
    }

    /// The upstream said that it did not run the request.
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

    /// The upstream answered with an error that does not say whether the request ran.
    pub fn error_status(status: StatusCode, body: &str) -> Self {
        if status.is_client_error() {
            let detail = format!("the upstream refused the request with {status}: {body}");
            return Self::new(UpstreamFailure::BadRequest, detail);
        }
        let detail = format!("the upstream failed with {status}: {body}");
        Self::new(UpstreamFailure::ServerError, detail)
    }

    /// What the failure tells about the run.
    pub fn run_state(&self) -> RunState {
        self.kind.run_state()
    }

    /// The refusal when no other upstream is tried.
    pub fn to_refusal(&self) -> CallerRefusal {
        let detail = self.detail.as_str();
        let pause = self.retry_after.unwrap_or(UPSTREAM_PAUSE);
        let refusal = match self.kind {
            UpstreamFailure::ConnectFailed
            | UpstreamFailure::QueueFull
            | UpstreamFailure::Leaving
            | UpstreamFailure::RefusedNotRun => {
                CallerRefusal::come_back(RefusalKind::NoUpstream, detail, pause)
            }
            UpstreamFailure::BrokenBeforeAnswer
            | UpstreamFailure::BrokenInAnswer
            | UpstreamFailure::ServerError
            | UpstreamFailure::MalformedAnswer => {
                CallerRefusal::come_back(RefusalKind::UpstreamFailed, detail, pause)
            }
            UpstreamFailure::BadRequest => {
                CallerRefusal::final_one(RefusalKind::UpstreamRefused, detail)
            }
            UpstreamFailure::TimedOut => {
                CallerRefusal::final_one(RefusalKind::DeadlinePassed, detail)
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
            HttpError::Unreadable { .. } => UpstreamFailure::MalformedAnswer,
            HttpError::Status { .. } => UpstreamFailure::ServerError,
        };
        Self::new(kind, error.to_string())
    }
}
