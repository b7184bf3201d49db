//! Final answers of the relay's own.

use std::time::Duration;

use ferry_decisions::retry::RunState;
use ferry_kernel::http::{HttpBody, json_response};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// Why a request gets no answer of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// No rules or no upstreams are known yet.
    #[error("this router knows no rules yet; call again after the Retry-After time")]
    NotReady,
    /// The rules were not confirmed lately, so that the key may have been revoked.
    #[error("this router lost touch with the platform; call again, another router will answer")]
    OutOfTouch,
    /// The router is about to stop.
    #[error("this router is stopping; call again on a new connection")]
    Stopping,
    /// No rule is for the host and path.
    #[error("no rule is for this host and path; check the address")]
    UnknownRoute,
    /// The key is missing, or nobody's.
    #[error("the key is missing or not known; send Authorization: Bearer KEY with a valid key")]
    UnknownKey,
    /// The request cannot be understood.
    #[error("the request is incomplete or malformed; send it as the callers' page describes")]
    Malformed,
    /// The body is longer than the rules allow.
    #[error("the body is longer than allowed; send a shorter one")]
    BodyTooLarge,
    /// No upstream can take the request now.
    #[error("no upstream can take the request now; call again after the Retry-After time")]
    NoUpstream,
    /// Every upstream that was asked is full.
    #[error("the upstreams are full; call again after the Retry-After time")]
    Busy,
    /// The time for an answer passed.
    #[error("no answer came in time; allow more time or call again")]
    DeadlinePassed,
    /// The upstream failed, and the request may not be sent again.
    #[error("the upstream failed; call again if the request may run twice")]
    UpstreamFailed,
    /// The request crashed the upstreams that ran it.
    #[error("the request crashed the upstreams that ran it; change it before sending it again")]
    Quarantined,
}

impl RefusalReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::OutOfTouch => "out_of_touch",
            Self::Stopping => "stopping",
            Self::UnknownRoute => "unknown_route",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::NoUpstream => "no_upstream",
            Self::Busy => "busy",
            Self::DeadlinePassed => "deadline_passed",
            Self::UpstreamFailed => "upstream_failed",
            Self::Quarantined => "quarantined",
        }
    }
}

/// A refusal with what it says about the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// What is known about the run.
    pub run: RunState,
    /// When to call again, for what has not run.
    pub retry_after: Duration,
}

/// Time after which a caller calls again when nothing better is known.
const DEFAULT_RETRY: Duration = Duration::from_millis(300);

impl RelayRefusal {
    /// A refusal of a request that certainly did not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            run: RunState::NotRun,
            retry_after: DEFAULT_RETRY,
        }
    }

    /// The same refusal after earlier sends left `run` behind.
    #[must_use]
    pub fn with_run(mut self, run: RunState) -> Self {
        self.run = self.run.max(run);
        self
    }

    /// The same refusal with another time to call again.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Status; 503 is said only of requests that did not run.
    pub fn status(&self) -> StatusCode {
        let not_run = self.run == RunState::NotRun;
        match self.reason {
            RefusalReason::UnknownRoute => StatusCode::NOT_FOUND,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::Malformed => StatusCode::BAD_REQUEST,
            RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::Quarantined => StatusCode::INTERNAL_SERVER_ERROR,
            _ if not_run => StatusCode::SERVICE_UNAVAILABLE,
            RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// The response to the caller.
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
