//! Helpers shared by all stand-ins to build responses and to read parts of requests.

use bytes::Bytes;
use ferry_kernel::http::{HttpBody, collect_limited, json_response};
use ferry_platform::engine::NOT_RUN_HEADER;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Value of the `Retry-After` header of refusals, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

#[derive(Serialize)]
struct ErrorReply<'a> {
    error: &'a str,
}

/// Error response with a message that states the remedy.
pub(crate) fn error(status: StatusCode, message: &str) -> Response<HttpBody> {
    json_response(status, &ErrorReply { error: message })
}

/// Error response with a `Retry-After` header.
pub(crate) fn retry_later(status: StatusCode, message: &str) -> Response<HttpBody> {
    let mut response = error(status, message);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
    response
}

/// Adds the header that states that the request did not run.
pub(crate) fn not_run(mut response: Response<HttpBody>) -> Response<HttpBody> {
    response
        .headers_mut()
        .insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
    response
}

/// Reads a body of at most `limit` bytes; the error is the response to send.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
) -> Result<Bytes, Box<Response<HttpBody>>> {
    collect_limited(body, limit)
        .await
        .map_err(|problem| Box::new(error(StatusCode::PAYLOAD_TOO_LARGE, &problem.to_string())))
}

/// Reads a JSON body of at most `limit` bytes; the error is the response to send.
pub(crate) async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    limit: usize,
) -> Result<T, Box<Response<HttpBody>>> {
    let content = read_body(body, limit).await?;
    serde_json::from_slice(&content).map_err(|problem| {
        let message = format!("the body is not valid: {problem}; correct it and send it again");
        Box::new(error(StatusCode::BAD_REQUEST, &message))
    })
}

/// Numeric value of `key` in a query string; `None` when it is missing or not a number.
pub(crate) fn query_number(query: Option<&str>, key: &str) -> Option<u64> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
}

/// Header `name` as text; `None` when it is missing or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
