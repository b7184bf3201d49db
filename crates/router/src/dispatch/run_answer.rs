//! Answers that a run returns to the caller's connection.

use bytes::Bytes;
use ferry_decisions::names::{RequestId, VersionName};
use ferry_kernel::http::{BodyFraming, BoxError};
use hyper::{HeaderMap, StatusCode};
use tokio::sync::{mpsc, oneshot};

use crate::caller::CallerRefusal;

/// Channel for the events of a stream to the caller; an error closes the connection.
pub type EventSender = mpsc::Sender<Result<Bytes, BoxError>>;

/// Channel for the head of a run's answer or its refusal.
pub type RunSender = oneshot::Sender<Result<RunAnswer, CallerRefusal>>;

/// Answer to a chat completion.
#[derive(Debug)]
pub enum RunAnswer {
    /// Complete answer, already billed.
    Whole {
        /// Values of the response headers.
        head: RunHead,
        /// JSON body as the engine sent it.
        body: Bytes,
    },
    /// Stream in progress; its end marker is sent only after its bill is durable.
    Stream {
        /// Values of the response headers.
        head: RunHead,
        /// Server-sent events.
        events: mpsc::Receiver<Result<Bytes, BoxError>>,
    },
}

/// Values of the response headers of an answer.
#[derive(Debug, Clone)]
pub struct RunHead {
    /// Identifier of the request.
    pub request: RequestId,
    /// Version that answers.
    pub version: VersionName,
    /// Session token; `None` for requests without a session.
    pub session: Option<String>,
}

/// Answer of a plain service, already billed.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    /// Status returned by the service.
    pub status: StatusCode,
    /// Response headers of the service that describe the body.
    pub headers: HeaderMap,
    /// How the service marked the end of the body.
    pub framing: BodyFraming,
    /// Response body of the service.
    pub body: Bytes,
}
