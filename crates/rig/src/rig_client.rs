//! HTTP client that acts as a caller of the fleet.

use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use ferry_kernel::http::{HttpClient, HttpRequest, collect_limited};
use ferry_platform::engine::{ChatAnswer, ChatChunk, STREAM_END};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, Response};
use serde_json::{Value, json};

use crate::answer::{ChatResult, Refusal, RigAnswer};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum size of a response body, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// A request for one chat completion.
#[derive(Debug, Clone)]
pub struct ChatCall {
    /// Name of the model, cascade or version.
    pub model: String,
    /// Text of the user's message.
    pub text: String,
    /// Whether the answer is requested as a stream.
    pub stream: bool,
    /// Maximum number of completion tokens.
    pub max_tokens: u32,
    /// Headers in addition to the key.
    pub headers: Vec<(&'static str, String)>,
}

/// A caller that sends the API key of a workspace.
#[derive(Debug, Clone)]
pub struct RigClient {
    http: HttpClient,
    key: String,
}

impl ChatCall {
    /// Creates a streamed call of `model` with the message `text` and 8 tokens.
    pub fn new(model: &str, text: &str) -> Self {
        Self {
            model: model.to_owned(),
            text: text.to_owned(),
            stream: true,
            max_tokens: 8,
            headers: Vec::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Requests the answer in one piece instead of a stream.
    #[must_use]
    pub fn unstreamed(mut self) -> Self {
        self.stream = false;
        self
    }

    /// Sets the request identifier, sent as `idempotency-key`.
    #[must_use]
    pub fn id(self, id: &str) -> Self {
        self.header("idempotency-key", id)
    }

    /// Sets the maximum number of completion tokens.
    #[must_use]
    pub fn tokens(mut self, tokens: u32) -> Self {
        self.max_tokens = tokens;
        self
    }

    fn body(&self) -> Value {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.text }],
            "stream": self.stream,
            "max_tokens": self.max_tokens,
        })
    }
}

impl RigClient {
    /// Creates a caller with the API key `key`.
    pub fn new(key: &str) -> Self {
        Self {
            http: HttpClient::default(),
            key: key.to_owned(),
        }
    }

    /// Sends `call` to the router at `address` and reads the complete answer.
    pub async fn chat(&self, address: &str, call: &ChatCall) -> ChatResult {
        let url = format!("http://{address}/v1/chat/completions");
        let request = HttpRequest::post_json(&url, &call.body()).bearer(&self.key);
        match self.send(request, &call.headers).await {
            Err(reason) => ChatResult::Broken(reason),
            Ok(response) => read_answer(response, call.stream).await,
        }
    }

    /// Sends any request to the router at `address`; returns the status, headers and body.
    ///
    /// # Errors
    ///
    /// Fails with a message when a header is invalid, the connection fails, or the body is too large.
    pub async fn call(
        &self,
        address: &str,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: impl Into<Bytes>,
    ) -> Result<(u16, HeaderMap, Bytes), String> {
        let url = format!("http://{address}{path}");
        let request = HttpRequest::new(method, &url, body.into()).bearer(&self.key);
        let response = self.send(request, headers).await?;
        let (head, body) = response.into_parts();
        let body = collect_limited(body, BODY_LIMIT).await;
        let body = body.map_err(|error| error.to_string())?;
        Ok((head.status.as_u16(), head.headers, body))
    }

    async fn send(
        &self,
        mut request: HttpRequest,
        headers: &[(&'static str, String)],
    ) -> Result<Response<Incoming>, String> {
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).map_err(|error| error.to_string())?;
            request.headers.insert(HeaderName::from_static(name), value);
        }
        let response = self.http.send(request, CALL_TIMEOUT).await;
        response.map_err(|error| error.to_string())
    }
}

/// Parses a refusal from its headers and its problem document.
///
/// # Errors
///
/// Fails with a message when the body is not a problem document.
pub fn read_refusal(headers: &HeaderMap, body: &[u8]) -> Result<Refusal, String> {
    let mut refusal: Refusal = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let after = headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok());
    refusal.retry_after = after.and_then(|text| text.parse().ok());
    Ok(refusal)
}

async fn read_answer(response: Response<Incoming>, stream: bool) -> ChatResult {
    let (head, body) = response.into_parts();
    if !head.status.is_success() {
        let Ok(body) = collect_limited(body, BODY_LIMIT).await else {
            return ChatResult::Broken("the body of a refusal could not be read".to_owned());
        };
        return match read_refusal(&head.headers, &body) {
            Ok(refusal) => ChatResult::Refused(refusal),
            Err(reason) => ChatResult::Broken(reason),
        };
    }
    let mut answer = empty_answer(&head.headers);
    let read = if stream {
        read_stream(body, &mut answer).await
    } else {
        read_unstreamed(body, &mut answer).await
    };
    match read {
        Ok(()) => ChatResult::Answered(answer),
        Err(reason) => ChatResult::Broken(reason),
    }
}

fn empty_answer(headers: &HeaderMap) -> RigAnswer {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    RigAnswer {
        request_id: text("ferry-request-id").unwrap_or_default(),
        version: text("ferry-version").unwrap_or_default(),
        session: text("ferry-session"),
        text: String::new(),
        completion_tokens: 0,
    }
}

async fn read_unstreamed(body: Incoming, answer: &mut RigAnswer) -> Result<(), String> {
    let body = collect_limited(body, BODY_LIMIT).await;
    let body = body.map_err(|error| error.to_string())?;
    let completion: ChatAnswer =
        serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let message = completion
        .choices
        .first()
        .map(|choice| &choice.message.content);
    let text = message.and_then(Value::as_str).unwrap_or_default();
    answer.text = text.to_owned();
    answer.completion_tokens = completion.usage.completion_tokens;
    Ok(())
}

/// Reads a stream up to the end marker and the end of the body; fails when either is missing.
async fn read_stream(body: Incoming, answer: &mut RigAnswer) -> Result<(), String> {
    let mut events = BodyDataStream::new(body).eventsource();
    let mut ended = false;
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| error.to_string())?;
        if event.data == STREAM_END {
            ended = true;
            continue;
        }
        let chunk: ChatChunk = serde_json::from_str(&event.data)
            .map_err(|_| format!("an event is not a completion chunk: {}", event.data))?;
        if let Some(usage) = chunk.usage {
            answer.completion_tokens = usage.completion_tokens;
        }
        if let Some(piece) = chunk
            .choices
            .first()
            .and_then(|c| c.delta.content.as_deref())
        {
            answer.text.push_str(piece);
        }
    }
    if ended {
        return Ok(());
    }
    Err("the stream ended without its end marker".to_owned())
}
