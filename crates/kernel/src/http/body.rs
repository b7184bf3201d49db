//! Bodies of requests and responses.

use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::task::yield_now;
use tokio::time::timeout;

use super::JoinedBody;

/// Error that ends a body early; the connection is then closed without a final chunk.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of any response that the project's servers send.
pub type HttpBody = UnsyncBoxBody<Bytes, BoxError>;

/// Number of times that a handler yields for its connection to be read again: the server may poll the handler twice before
/// it reads.
const READ_ROUNDS: usize = 3;

/// Why a body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than {limit} bytes; send a shorter one")]
    TooLarge {
        /// Longest body allowed, in bytes.
        limit: usize,
    },
    /// All bodies that are held take as much as they may together.
    #[error(
        "the bodies being held take the {limit} bytes that they may; try again when fewer are held"
    )]
    NoRoom {
        /// Maximum size of all bodies, in bytes.
        limit: usize,
    },
    /// Nothing more of the body came for a time.
    #[error("nothing of the body came for {pause:?}; check the connection, and send it again")]
    Silent {
        /// Longest pause allowed between two pieces.
        pause: Duration,
    },
    /// The body ended before its announced length, or the connection broke.
    #[error("the body ended early: {0}; send the whole body")]
    Truncated(String),
}

/// An empty body.
pub fn empty() -> HttpBody {
    Empty::new().map_err(into_box_error).boxed_unsync()
}

/// A body of known content.
pub fn full(content: impl Into<Bytes>) -> HttpBody {
    Full::new(content.into())
        .map_err(into_box_error)
        .boxed_unsync()
}

/// A body whose chunks come from `chunks`; an error closes the connection, and so does a panic.
///
/// An error comes one turn later, in which the server writes what it holds: the HTTP library drops it with the connection, and the
/// peer would not even get the head of a body that fails at once.
pub fn streamed<S>(chunks: S) -> HttpBody
where
    S: Stream<Item = Result<Bytes, BoxError>> + Send + 'static,
{
    use futures::StreamExt;
    let caught = AssertUnwindSafe(chunks).catch_unwind();
    let frames = caught.then(|chunk| async move {
        let chunk =
            chunk.unwrap_or_else(|_| Err(BoxError::from("the task that made the body panicked")));
        if chunk.is_err() {
            yield_now().await;
        }
        chunk.map(Frame::data)
    });
    StreamBody::new(frames).boxed_unsync()
}

/// A JSON response.
pub fn json_response(status: StatusCode, content: &impl Serialize) -> Response<HttpBody> {
    let text = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Fails when the body is longer than `limit` or ends early.
pub async fn collect_limited<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    collect_steady(body, limit, Duration::MAX).await
}

/// Reads a whole body of at most `limit` bytes, whose pieces must not be more than `pause` apart.
///
/// # Errors
///
/// Fails when the body is longer than `limit`, ends early, or pauses for longer.
pub(super) async fn collect_steady<B>(
    body: B,
    limit: usize,
    pause: Duration,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    collect_checked(body, pause, |joined| match joined.len() > limit {
        true => Err(BodyError::TooLarge { limit }),
        false => Ok(()),
    })
    .await
}

/// Reads a whole body, whose pieces must not be more than `pause` apart, and which `check` may refuse after each piece because of what it has
/// taken so far.
pub(super) async fn collect_checked<B>(
    body: B,
    pause: Duration,
    mut check: impl FnMut(&JoinedBody) -> Result<(), BodyError>,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let mut body = pin!(body);
    let mut joined = JoinedBody::default();
    let silent = |_| BodyError::Silent { pause };
    while let Some(frame) = timeout(pause, body.frame()).await.map_err(silent)? {
        let frame = frame.map_err(truncated)?;
        if let Ok(piece) = frame.into_data() {
            joined.push(piece);
            check(&joined)?;
        }
    }
    Ok(joined.into_bytes())
}

/// Lets the connection of a request be read once more: if the caller has left, the handler that awaits this is dropped.
pub(super) async fn read_connection_again() {
    for _ in 0..READ_ROUNDS {
        yield_now().await;
    }
}

pub(super) fn truncated(error: impl Into<BoxError>) -> BodyError {
    BodyError::Truncated(error.into().to_string())
}

fn into_box_error(error: Infallible) -> BoxError {
    match error {}
}
