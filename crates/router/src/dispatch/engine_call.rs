//! Dispatches a chat completion to an engine.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::VersionName;
use ferry_decisions::retry::UpstreamFailure;
use ferry_kernel::http::{HttpRequest, collect_limited};
use ferry_platform::engine::{
    ChatAnswer, ChatRequest, NOT_RUN_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER, TokenUsage,
};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

use super::DispatchFailure;
use super::engine_stream::{CollectedStream, EngineStream};
use crate::caller::CallerRequest;
use crate::core::RouterCore;
use crate::upstream::InFlightGuard;

/// Longest error body that is read, in bytes.
const ERROR_BODY_LIMIT: usize = 4_096;

/// Answer of an engine.
pub enum EngineReply {
    /// Complete answer to a request without streaming.
    Whole(WholeReply),
    /// Stream whose first event has been received.
    Stream(EngineStream),
    /// Stream that was read to its end before delivery.
    Collected(CollectedStream),
}

/// Complete answer to a request without streaming.
#[derive(Debug, Clone)]
pub struct WholeReply {
    /// JSON body as sent by the engine.
    pub body: Bytes,
    /// Text of the answer.
    pub text: String,
    /// Tokens used, as counted by the engine.
    pub usage: TokenUsage,
}

/// Dispatches `chat` on `version` to the upstream of `guard`.
///
/// # Errors
///
/// Returns a failure whose kind shows whether the request may have run.
pub async fn call(
    core: &RouterCore,
    guard: InFlightGuard,
    request: &CallerRequest,
    chat: &ChatRequest,
    version: &VersionName,
    keep_text: bool,
) -> Result<EngineReply, DispatchFailure> {
    let outgoing = engine_request(&guard, request, chat, version);
    let response = core.http.send(outgoing, request.time_left()).await?;
    let response = check_status(core, &guard, response).await?;
    if chat.stream {
        let mut stream = EngineStream::new(guard, response.into_body(), keep_text);
        stream.read_first(request.deadline).await?;
        return Ok(EngineReply::Stream(stream));
    }
    let limit = core.settings.limits.answer_bytes;
    let body = tokio::time::timeout_at(
        request.deadline,
        collect_limited(response.into_body(), limit),
    )
    .await
    .map_err(|_| DispatchFailure::deadline_passed())?
    .map_err(|error| DispatchFailure::broken_answer(&error.to_string()))?;
    whole_reply(body).map(EngineReply::Whole)
}

/// Requests the rest of the answer to `request`, after the tokens that `stream` has received.
///
/// # Errors
///
/// Fails when the upstream cannot be reached or no longer has the answer.
pub async fn resume(
    core: &RouterCore,
    stream: &mut EngineStream,
    request: &CallerRequest,
) -> Result<(), DispatchFailure> {
    let url = format!(
        "{}/v1/streams/{}?from={}",
        stream.host_url(),
        request.id,
        stream.usage().completion_tokens
    );
    let outgoing = HttpRequest::get(&url);
    let response = core.http.send(outgoing, request.time_left()).await?;
    if !response.status().is_success() {
        return Err(DispatchFailure::broken_answer(&format!(
            "the stream cannot be resumed ({})",
            response.status()
        )));
    }
    stream.resume(response.into_body());
    Ok(())
}

fn engine_request(
    guard: &InFlightGuard,
    request: &CallerRequest,
    chat: &ChatRequest,
    version: &VersionName,
) -> HttpRequest {
    let chat = ChatRequest {
        model: version.as_str().to_owned(),
        ..chat.clone()
    };
    let url = format!("{}/v1/chat/completions", guard.host().url());
    let mut outgoing = HttpRequest::post_json(&url, &chat);
    let priority = HeaderValue::from(guard.rank().engine_priority());
    let headers = &mut outgoing.headers;
    headers.insert(HeaderName::from_static(PRIORITY_HEADER), priority);
    if let Ok(id) = HeaderValue::from_str(request.id.as_str()) {
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
    }
    outgoing
}

/// Returns a successful response; converts others into a failure that shows whether the request may
/// have run.
pub(super) async fn check_status(
    core: &RouterCore,
    guard: &InFlightGuard,
    response: Response<Incoming>,
) -> Result<Response<Incoming>, DispatchFailure> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    if is_marked_not_run(response.headers()) {
        if status == StatusCode::SERVICE_UNAVAILABLE {
            guard.host().mark_leaving();
        }
        let retry_after = retry_after(response.headers());
        return Err(DispatchFailure::not_run(status, retry_after));
    }
    let body = collect_limited(response.into_body(), ERROR_BODY_LIMIT).await;
    let body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
    metrics::counter!("ferry_upstream_errors_total", "host" => core.settings.host.to_string())
        .increment(1);
    Err(DispatchFailure::error_status(status, &body))
}

/// Whether the response headers state that the request was not run.
pub(super) fn is_marked_not_run(headers: &HeaderMap) -> bool {
    headers.get(NOT_RUN_HEADER).is_some_and(|v| v == "true")
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

fn whole_reply(body: Bytes) -> Result<WholeReply, DispatchFailure> {
    let answer: ChatAnswer =
        serde_json::from_slice(&body).map_err(|error| malformed_answer(&error))?;
    let content = answer.choices.first().map(|c| &c.message.content);
    let text = content.and_then(|c| c.as_str()).unwrap_or_default();
    Ok(WholeReply {
        text: text.to_owned(),
        usage: answer.usage,
        body,
    })
}

fn malformed_answer(error: &serde_json::Error) -> DispatchFailure {
    let detail = format!("the upstream's answer is malformed: {error}");
    DispatchFailure::new(UpstreamFailure::MalformedAnswer, detail)
}
