//! How the end of a response body is marked on the wire.

use http_body_util::BodyDataStream;
use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Response, StatusCode, Version};

use super::{HttpBody, streamed};

/// Coding whose last chunk marks the end of a body.
const CHUNKED: &str = "chunked";

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length or its last chunk, so that an early end is an error.
    Delimited,
    /// By the end of the connection, so that a clean end does not tell whether the body is complete.
    UntilClose,
}

impl BodyFraming {
    /// Framing of the response with this head to a request with `method`.
    pub fn of(method: &Method, head: &Parts) -> Self {
        let has_no_body = *method == Method::HEAD
            || head.status.is_informational()
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        let is_delimited = match head.headers.contains_key(TRANSFER_ENCODING) {
            true => ends_chunked(&head.headers),
            false => head.headers.contains_key(CONTENT_LENGTH),
        };
        match has_no_body || is_delimited {
            true => Self::Delimited,
            false => Self::UntilClose,
        }
    }

    /// Marks the end of `response` in this way.
    pub fn apply(self, response: Response<HttpBody>) -> Response<HttpBody> {
        match self {
            Self::Delimited => response,
            Self::UntilClose => until_close(response),
        }
    }

    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Delimited => "delimited",
            Self::UntilClose => "until_close",
        }
    }
}

/// The response with a body that ends with the connection, for a body that is not known to be complete.
fn until_close(response: Response<HttpBody>) -> Response<HttpBody> {
    let (mut head, body) = response.into_parts();
    // hyper sends a body of unknown length without chunks only in a response of HTTP/1.0.
    head.version = Version::HTTP_10;
    head.headers
        .insert(CONNECTION, HeaderValue::from_static("close"));
    let chunks = BodyDataStream::new(body);
    Response::from_parts(head, streamed(chunks))
}

/// Whether the end of `response` to a request of HTTP `version` is marked by the end of the connection: a body of unknown length without
/// chunks, which HTTP/1.0 does not have.
pub(super) fn ends_with_connection(version: Version, response: &Response<HttpBody>) -> bool {
    let has_chunks = version > Version::HTTP_10 && response.version() > Version::HTTP_10;
    let has_length = response.headers().contains_key(CONTENT_LENGTH)
        || response.body().size_hint().exact().is_some();
    !has_chunks && !has_length
}

/// Whether `chunked` is the last transfer coding.
fn ends_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    let coding = codings.and_then(|codings| codings.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED))
}
