//! What a run hands to the caller's connection.

use bytes::Bytes;
use ferry_decisions::names::{RequestId, VersionName};
use ferry_kernel::http::BoxError;
use hyper::{HeaderMap, StatusCode};
use tokio::sync::{mpsc, oneshot};

use crate::caller::CallerRefusal;

/// Events of a stream in transit to the caller; an error breaks the connection off.
pub type EventSender = mpsc::Sender<Result<Bytes, BoxError>>;

/// Takes the head of a run's answer, once.
pub type RunSender = oneshot::Sender<Result<RunAnswer, CallerRefusal>>;

/// Answer to a chat completion.
#[derive(Debug)]
pub enum RunAnswer {
    /// The whole answer, already billed.
    Whole {
        /// Facts for the headers.
        head: RunHead,
        /// JSON body as the engine sent it.
        body: Bytes,
    },
    /// An answer that has begun; its end comes only after its bill.
    Stream {
        /// Facts for the headers.
        head: RunHead,
        /// Server-sent events.
        events: mpsc::Receiver<Result<Bytes, BoxError>>,
    },
}

/// Facts about an answer that its headers carry.
#[derive(Debug, Clone)]
pub struct RunHead {
    /// The request.
    pub request: RequestId,
    /// Version that answers.
    pub version: VersionName,
    /// Session token, for requests of a session.
    pub session: Option<String>,
}

/// Answer of a plain service, already billed.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    /// Status of the service.
    pub status: StatusCode,
    /// Headers of the service that concern the body.
    pub headers: HeaderMap,
    /// Body of the service.
    pub body: Bytes,
}
