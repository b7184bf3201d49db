//! How a dispatch can fail, and what that says about the run.

use std::time::Duration;

use ferry_kernel::http::HttpError;
use hyper::StatusCode;

use crate::caller::{CallerRefusal, RefusalKind, RunState};

/// When to come back after all upstreams refused.
const UPSTREAM_PAUSE: Duration = Duration::from_secs(1);

/// Why a dispatch gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamFailure {
    /// No byte reached the upstream.
    #[error("the upstream cannot be reached: {0}")]
    NotSent(String),
    /// The upstream said that it did not run the request.
    #[error("the upstream did not run the request ({status}); another one may")]
    NotRun {
        /// Status of the refusal.
        status: StatusCode,
        /// When the upstream expects to have room.
        retry_after: Option<Duration>,
    },
    /// The connection broke after the request was sent.
    #[error("the upstream failed during the request: {0}")]
    Broken(String),
    /// The upstream answered with an error.
    #[error("the upstream failed with {status}: {body}")]
    Failed {
        /// Status of the answer.
        status: StatusCode,
        /// Start of the body.
        body: String,
    },
    /// The upstream refused the request as it is.
    #[error("the upstream refused the request with {status}: {body}")]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// Start of the body.
        body: String,
    },
    /// The deadline passed before the answer.
    #[error("the deadline passed before the upstream answered; send a longer Ferry-Deadline-Ms")]
    DeadlinePassed,
}

impl UpstreamFailure {
    /// Whether the request certainly did not run.
    pub fn run_state(&self) -> RunState {
        match self {
            Self::NotSent(_) | Self::NotRun { .. } => RunState::NotRun,
            Self::Broken(_) | Self::Failed { .. } | Self::Refused { .. } | Self::DeadlinePassed => {
                RunState::MayHaveRun
            }
        }
    }

    /// Whether another upstream may do better.
    pub fn may_retry(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::NotRun { .. } | Self::Broken(_) | Self::Failed { .. } => true,
            Self::Refused { .. } | Self::DeadlinePassed => false,
        }
    }

    /// The refusal when no other upstream is tried.
    pub fn to_refusal(&self) -> CallerRefusal {
        let detail = self.to_string();
        let refusal = match self {
            Self::NotSent(_) => {
                CallerRefusal::come_back(RefusalKind::NoUpstream, detail, UPSTREAM_PAUSE)
            }
            Self::NotRun { retry_after, .. } => CallerRefusal::come_back(
                RefusalKind::NoUpstream,
                detail,
                retry_after.unwrap_or(UPSTREAM_PAUSE),
            ),
            Self::Broken(_) | Self::Failed { .. } => {
                CallerRefusal::come_back(RefusalKind::UpstreamFailed, detail, UPSTREAM_PAUSE)
            }
            Self::Refused { .. } => CallerRefusal::final_one(RefusalKind::UpstreamRefused, detail),
            Self::DeadlinePassed => CallerRefusal::final_one(RefusalKind::DeadlinePassed, detail),
        };
        refusal.with_run(self.run_state())
    }
}

impl From<HttpError> for UpstreamFailure {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Connect { reason, .. } | HttpError::BadRequest { reason, .. } => {
                Self::NotSent(reason)
            }
            HttpError::Timeout { .. } => Self::DeadlinePassed,
            HttpError::Broken { reason, .. } | HttpError::Unreadable { reason, .. } => {
                Self::Broken(reason)
            }
            HttpError::Status { status, body, .. } => Self::Failed { status, body },
        }
    }
}
