//! Refusals: error responses that state whether the request ran and when to retry.

use std::time::Duration;

use ferry_decisions::names::RequestId;
use ferry_decisions::retry::RunState;
use ferry_decisions::routing::PlanError;
use ferry_decisions::session::SessionError;
use ferry_kernel::http::{BodyError, HttpBody, full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::claims::ClaimError;
use crate::lease::LeaseProblem;

/// Response header with the identifier of the request.
pub const REQUEST_ID_ANSWER_HEADER: &str = "ferry-request-id";

/// Kinds of refusal; each has its own problem type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The key is missing or belongs to no workspace.
    Unauthenticated,
    /// The workspace lacks the permission.
    Forbidden,
    /// The request is malformed.
    BadRequest,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The model, service or path does not exist.
    Unknown,
    /// No version of the target may be used.
    NoVersionAllowed,
    /// The limit on unrated answers of a version in roll-out is reached.
    RolloutLimit,
    /// The version pinned by the session accepts no more requests.
    SessionVersionWithdrawn,
    /// The session token is invalid.
    BadSession,
    /// This router cannot confirm that its configuration is fresh.
    ConfigurationStale,
    /// The router is stopping.
    Stopping,
    /// Too many requests are in progress.
    Overloaded,
    /// The workspace is over its limit.
    WorkspaceLimit,
    /// The answer is not expected before the deadline.
    DeadlineTooNear,
    /// The deadline passed during the run.
    DeadlinePassed,
    /// The log service, which the request needs, is not available.
    LogOut,
    /// An earlier send of the request ran or may have run.
    Duplicate,
    /// The request crashed upstreams and is not run again.
    Quarantined,
    /// No upstream is available for the request.
    NoUpstream,
    /// The upstream failed.
    UpstreamFailed,
    /// The router's own program failed while it answered the request.
    RouterFailed,
    /// The upstream rejected the request with a client error.
    UpstreamRefused,
}

/// Error response to a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{detail}")]
pub struct CallerRefusal {
    /// Kind of the refusal.
    pub kind: RefusalKind,
    /// Message for the caller: the problem and its remedy.
    pub detail: String,
    /// Whether the request ran.
    pub run: RunState,
    /// Time after which to retry; `None` when the same request would be refused again.
    pub retry_after: Option<Duration>,
}

/// Body of a refusal: an `application/problem+json` document with the `error` object that chat
/// clients expect.
#[derive(Debug, Serialize)]
struct ProblemDocument<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    run: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a RequestId>,
    error: ChatError<'a>,
}

#[derive(Debug, Serialize)]
struct ChatError<'a> {
    message: &'a str,
    r#type: RefusalKind,
}

impl RefusalKind {
    /// HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Unauthenticated | Self::BadSession => StatusCode::UNAUTHORIZED,
            Self::Forbidden | Self::NoVersionAllowed => StatusCode::FORBIDDEN,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unknown => StatusCode::NOT_FOUND,
            Self::SessionVersionWithdrawn => StatusCode::GONE,
            Self::Duplicate => StatusCode::CONFLICT,
            Self::Quarantined | Self::UpstreamRefused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::WorkspaceLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::RouterFailed => StatusCode::INTERNAL_SERVER_ERROR,
            Self::ConfigurationStale
            | Self::Stopping
            | Self::Overloaded
            | Self::RolloutLimit
            | Self::DeadlineTooNear
            | Self::LogOut
            | Self::NoUpstream => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Name of the kind in problem documents and metrics.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|value| value.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}

impl CallerRefusal {
    /// Creates a refusal before any dispatch; the same request would be refused again.
    pub fn permanent(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            run: RunState::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal before any dispatch, with the time `after` which the request may succeed.
    pub fn retry_after(kind: RefusalKind, detail: impl Into<String>, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..Self::permanent(kind, detail)
        }
    }

    /// Returns the refusal with another run state.
    #[must_use]
    pub fn with_run(self, run: RunState) -> Self {
        Self { run, ..self }
    }

    /// Converts the refusal into a response.
    pub fn to_response(&self, request_id: Option<&RequestId>) -> Response<HttpBody> {
        let status = self.kind.status();
        let name = self.kind.name();
        let document = ProblemDocument {
            r#type: format!("urn:ferry:problem:{name}"),
            title: name.replace('_', " "),
            status: status.as_u16(),
            detail: &self.detail,
            run: self.run,
            request_id,
            error: ChatError {
                message: &self.detail,
                r#type: self.kind,
            },
        };
        let mut response = Response::new(full(serde_json::to_vec(&document).unwrap_or_default()));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
        }
        if let Some(value) = request_id.and_then(|id| HeaderValue::from_str(id.as_str()).ok()) {
            headers.insert(REQUEST_ID_ANSWER_HEADER, value);
        }
        response
    }
}

/// Seconds for `Retry-After`: rounded up, and at least 1, since a caller that retries too early is
/// refused again.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_millis().div_ceil(1_000).max(1) as u64
}

/// `Retry-After` when this router cannot confirm its configuration, or has no memory for the body; another router may.
const OTHER_ROUTER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl From<LeaseProblem> for CallerRefusal {
    fn from(problem: LeaseProblem) -> Self {
        Self::retry_after(
            RefusalKind::ConfigurationStale,
            problem.to_string(),
            OTHER_ROUTER_RETRY_AFTER,
        )
    }
}

impl From<PlanError> for CallerRefusal {
    fn from(error: PlanError) -> Self {
        let kind = match &error {
            PlanError::UnknownTarget(_) => RefusalKind::Unknown,
            PlanError::NothingAllowed { .. } => RefusalKind::NoVersionAllowed,
            PlanError::SessionVersionWithdrawn(_) => RefusalKind::SessionVersionWithdrawn,
        };
        Self::permanent(kind, error.to_string())
    }
}

impl From<SessionError> for CallerRefusal {
    fn from(error: SessionError) -> Self {
        let kind = match error {
            SessionError::ForeignWorkspace => RefusalKind::Forbidden,
            SessionError::Malformed | SessionError::UnknownKey(_) | SessionError::BadSignature => {
                RefusalKind::BadSession
            }
        };
        Self::permanent(kind, error.to_string())
    }
}

impl From<BodyError> for CallerRefusal {
    fn from(error: BodyError) -> Self {
        let detail = error.to_string();
        match error {
            BodyError::TooLarge { .. } => Self::permanent(RefusalKind::BodyTooLarge, detail),
            BodyError::Truncated(_) | BodyError::Silent { .. } => {
                Self::permanent(RefusalKind::BadRequest, detail)
            }
            BodyError::NoRoom { .. } => {
                Self::retry_after(RefusalKind::Overloaded, detail, OTHER_ROUTER_RETRY_AFTER)
            }
        }
    }
}

impl From<ClaimError> for CallerRefusal {
    fn from(problem: ClaimError) -> Self {
        let detail = problem.to_string();
        match problem {
            ClaimError::LogUnavailable { retry_after } => {
                Self::retry_after(RefusalKind::LogOut, detail, retry_after)
            }
            ClaimError::InvalidId(_) | ClaimError::OtherRequest => {
                Self::permanent(RefusalKind::BadRequest, detail)
            }
            ClaimError::ExpiredId(_) => {
                Self::permanent(RefusalKind::BadRequest, detail).with_run(RunState::MayHaveRun)
            }
            ClaimError::MayHaveRun => {
                Self::permanent(RefusalKind::Duplicate, detail).with_run(RunState::MayHaveRun)
            }
            ClaimError::Ran => {
                Self::permanent(RefusalKind::Duplicate, detail).with_run(RunState::Ran)
            }
        }
    }
}
