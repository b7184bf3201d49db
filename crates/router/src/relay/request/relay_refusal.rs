//! Refusals: final answers that the relay itself generates.

use std::time::Duration;

use ferry_decisions::retry::RunState;
use ferry_kernel::http::{HttpBody, json_response};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// Why a request is not answered by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// No rules or no upstreams are known yet.
    #[error("this router knows no rules yet; call again after the Retry-After time")]
    NotReady,
    /// The platform has not confirmed the rules recently, so the key may have been revoked.
    #[error("this router lost touch with the platform; call again, another router will answer")]
    Disconnected,
    /// The router is draining before it stops.
    #[error("this router is stopping; call again on a new connection")]
    Stopping,
    /// No rule matches the host and path.
    #[error("no rule is for this host and path; check the address")]
    UnknownRoute,
    /// The rule for the host and path cannot be read.
    #[error(
        "the rule for this host and path cannot be read; call again after the operator has written it again"
    )]
    UnreadableRule,
    /// The key is missing or belongs to no workspace.
    #[error("the key is missing or not known; send Authorization: Bearer KEY with a valid key")]
    UnknownKey,
    /// The request lacks its attempt identifier, or its body was cut off.
    #[error("the request is incomplete or malformed; send it as the callers' page describes")]
    Malformed,
    /// The body is longer than the rules allow.
    #[error("the body is longer than allowed; send a shorter one")]
    BodyTooLarge,
    /// The bodies of other requests took the memory for bodies until too little time was left.
    #[error("this router holds too many large bodies now; call again after the Retry-After time")]
    NoMemory,
    /// The upstreams of the service do not have the model that the caller named.
    #[error("no upstream has the model of the request; name another one, or let the router choose")]
    UnknownModel,
    /// No upstream is available for the request now.
    #[error("no upstream can take the request now; call again after the Retry-After time")]
    NoUpstream,
    /// All upstreams of the service are in availability zones that the operator evacuated.
    #[error("all zones of the service are evacuated; call again after the Retry-After time")]
    Evacuated,
    /// No upstream of the service is in a region that the rule and the workspace allow.
    #[error(
        "no upstream is in a region that the rule and the workspace allow; ask the operator for one"
    )]
    RegionNotAllowed,
    /// The upstreams that the request was sent to refused it because their queues are full.
    #[error("the upstreams are full; call again after the Retry-After time")]
    Busy,
    /// No upstream is expected to answer the request in its time.
    #[error(
        "no upstream is expected to answer the request in time; allow more time, or call again after the Retry-After time"
    )]
    NoTime,
    /// The service is contended, and the request is beyond the fair share of its workspace.
    #[error(
        "the service is full and the workspace is beyond its fair share; call again after the Retry-After time"
    )]
    BeyondShare,
    /// The request was not read and answered before its deadline.
    #[error("no answer came in time; allow more time or call again")]
    DeadlinePassed,
    /// The upstream failed, and the request must not be sent again or no retry is left.
    #[error("the upstream failed; call again if the request may run twice")]
    UpstreamFailed,
    /// The router's own program failed while it answered the request.
    #[error(
        "this router failed while it answered the request; call again if the request may run twice"
    )]
    RouterFailed,
    /// Several upstreams broke off while they ran the request, so it is not run again for a while.
    #[error("the request crashed the upstreams that ran it; change it before sending it again")]
    Quarantined,
}

impl RefusalReason {
    /// Name of the reason in logs and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Disconnected => "out_of_touch",
            Self::Stopping => "stopping",
            Self::UnknownRoute => "unknown_route",
            Self::UnreadableRule => "unreadable_rule",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::NoMemory => "no_memory",
            Self::UnknownModel => "unknown_model",
            Self::NoUpstream => "no_upstream",
            Self::Evacuated => "evacuated",
            Self::RegionNotAllowed => "region_not_allowed",
            Self::Busy => "busy",
            Self::NoTime => "no_time",
            Self::BeyondShare => "beyond_share",
            Self::DeadlinePassed => "deadline_passed",
            Self::UpstreamFailed => "upstream_failed",
            Self::RouterFailed => "router_failed",
            Self::Quarantined => "quarantined",
        }
    }
}

/// A refusal, with what is known about whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayRefusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Whether the request ran, as far as it is known.
    pub run: RunState,
    /// Value of Retry-After, sent only with refusals of requests that did not run.
    pub retry_after: Duration,
}

/// Value of Retry-After when no better estimate is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

impl RelayRefusal {
    /// A refusal of a request that certainly did not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            run: RunState::NotRun,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    /// The refusal of a request whose task panicked: what it did is not known.
    pub fn router_failed() -> Self {
        Self::not_run(RefusalReason::RouterFailed).with_run(RunState::MayHaveRun)
    }

    /// The same refusal, combined with the state `run` that earlier sends left.
    #[must_use]
    pub fn with_run(mut self, run: RunState) -> Self {
        self.run = self.run.max(run);
        self
    }

    /// The same refusal with another value of Retry-After.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// HTTP status; 503 and 421 are used only for requests that did not run.
    pub fn status(&self) -> StatusCode {
        let not_run = self.run == RunState::NotRun;
        match self.reason {
            RefusalReason::UnknownRoute => StatusCode::NOT_FOUND,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::Malformed => StatusCode::BAD_REQUEST,
            RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::Quarantined => StatusCode::INTERNAL_SERVER_ERROR,
            RefusalReason::UnknownModel if not_run => StatusCode::MISDIRECTED_REQUEST,
            _ if not_run => StatusCode::SERVICE_UNAVAILABLE,
            RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// The response to the caller, with `detail` and `run` in its JSON body.
    pub fn to_response(self) -> Response<HttpBody> {
        let status = self.status();
        let content = json!({ "detail": self.reason.to_string(), "run": self.run });
        let mut response = json_response(status, &content);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = format!("{:.3}", self.retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
