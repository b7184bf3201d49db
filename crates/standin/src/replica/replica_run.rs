//! What became of one request.

use bytes::Bytes;
use ferry_platform::headers::BoundRequest;
use tokio::time::Instant;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// Refused unrun.
    Refused,
    /// Still running.
    Running,
    /// Answered to the end, or broken off as planned.
    Finished,
    /// Its connection closed before the answer was complete.
    Abandoned,
}

/// One request.
#[derive(Debug, Clone)]
pub struct ReplicaRun {
    /// What its headers said.
    pub request: BoundRequest,
    /// Method, path and query.
    pub target: String,
    /// Body.
    pub body: Bytes,
    /// When it arrived.
    pub at: Instant,
    /// How it ended.
    pub end: RunEnd,
}
