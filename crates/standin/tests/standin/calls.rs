//! Helpers shared by the tests of the stand-ins.

use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpError, HttpRequest, collect_limited};
use ferry_platform::engine::{ChatChunk, ChatMessage, ChatRequest, STREAM_END};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Response, body::Incoming};
use serde::Serialize;

/// Timeout of every wait, which is reached only when a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A chat request for `version` with one message.
pub fn chat(version: &str, content: &str, stream: bool, tokens: u32) -> ChatRequest {
    ChatRequest {
        model: version.to_owned(),
        messages: vec![ChatMessage {
            role: "user".to_owned(),
            content: content.into(),
            rest: Default::default(),
        }],
        stream,
        max_tokens: Some(tokens),
        rest: Default::default(),
    }
}

/// A POST of `chat` with the request id `id`.
pub fn chat_call(base: &str, id: &str, chat: &ChatRequest) -> HttpRequest {
    let url = format!("{base}/v1/chat/completions");
    with_header(HttpRequest::post_json(&url, chat), "x-request-id", id)
}

/// Adds a header.
pub fn with_header(mut request: HttpRequest, name: &'static str, value: &str) -> HttpRequest {
    let value = HeaderValue::from_str(value).unwrap();
    request.headers.insert(HeaderName::from_static(name), value);
    request
}

/// A PUT request with a JSON body.
pub fn put_json(url: &str, content: &impl Serialize) -> HttpRequest {
    let mut request = HttpRequest::post_json(url, content);
    request.method = Method::PUT;
    request
}

/// Sends a request and returns the response, whose body has not been read yet.
pub async fn send(request: HttpRequest) -> Result<Response<Incoming>, HttpError> {
    HttpClient::default().send(request, TEST_TIMEOUT).await
}

/// Reads a body to its end; fails when the connection breaks before the end.
pub async fn read_text(response: Response<Incoming>) -> Result<String, String> {
    let body = collect_limited(response.into_body(), 64 << 20).await;
    let body = body.map_err(|error| error.to_string())?;
    Ok(String::from_utf8(body.to_vec()).unwrap())
}

/// Parses the events of a complete stream, and asserts that it ends with the end marker.
pub fn stream_chunks(text: &str) -> Vec<ChatChunk> {
    let mut data: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(data.pop(), Some(STREAM_END));
    data.into_iter()
        .map(|event| serde_json::from_str(event).unwrap())
        .collect()
}

/// Text of all tokens of a stream.
pub fn stream_text(chunks: &[ChatChunk]) -> String {
    chunks
        .iter()
        .flat_map(|chunk| &chunk.choices)
        .filter_map(|choice| choice.delta.content.as_deref())
        .collect()
}

/// Waits until `condition` holds; panics with the description `what` after [`TEST_TIMEOUT`].
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TEST_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out waiting for: {what}");
}
