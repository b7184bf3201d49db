//! Record of one request that reached an upstream.

use std::time::Duration;

use bytes::Bytes;
use ferry_platform::headers::BoundRequest;
use tokio::time::Instant;

/// Whether a request still runs, or how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// Refused without running.
    Refused,
    /// Still running.
    Running,
    /// Answered completely, or broken off according to the plan.
    Finished,
    /// Connection closed before the answer was complete.
    Abandoned,
}

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct ReplicaRun {
    /// Contents of the request's protocol headers.
    pub request: BoundRequest,
    /// Method, path and query.
    pub target: String,
    /// Request body.
    pub body: Bytes,
    /// Time of arrival.
    pub at: Instant,
    /// Whether the request still runs, or how it ended.
    pub status: RunStatus,
    /// Time for which the refusal asked the router to send no requests.
    pub pause: Option<Duration>,
}
