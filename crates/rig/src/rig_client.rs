//! A caller of the fleet.

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

/// Time allowed for a call.
const CALL_WAIT: Duration = Duration::from_secs(120);
/// Longest body read, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// One chat completion to be sent.
#[derive(Debug, Clone)]
pub struct ChatCall {
    /// Model, cascade or version.
    pub model: String,
    /// Text of the user's message.
    pub text: String,
    /// Whether the answer comes as a stream.
    pub stream: bool,
    /// Tokens asked for.
    pub max_tokens: u32,
    /// Headers beyond the key.
    pub headers: Vec<(&'static str, String)>,
}

/// A caller with the key of a workspace.
#[derive(Debug, Clone)]
pub struct RigClient {
    http: HttpClient,
    key: String,
}

impl ChatCall {
    /// A streamed call of `model` with `text`.
    pub fn new(model: &str, text: &str) -> Self {
        Self {
            model: model.to_owned(),
            text: text.to_owned(),
            stream: true,
            max_tokens: 8,
            headers: Vec::new(),
        }
    }

    /// The same call with a header more.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// The same call for a whole answer.
    #[must_use]
    pub fn whole(mut self) -> Self {
        self.stream = false;
        self
    }

    /// The same call with `id` as its identifier.
    #[must_use]
    pub fn id(self, id: &str) -> Self {
        self.header("idempotency-key", id)
    }

    /// The same call for another number of tokens.
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
    /// A caller with `key`.
    pub fn new(key: &str) -> Self {
        Self {
            http: HttpClient::default(),
            key: key.to_owned(),
        }
    }

    /// Sends `call` to the router at `address` and reads its answer to the end.
    pub async fn chat(&self, address: &str, call: &ChatCall) -> ChatResult {
        let url = format!("http://{address}/v1/chat/completions");
        let request = HttpRequest::post_json(&url, &call.body()).bearer(&self.key);
        match self.send(request, &call.headers).await {
            Err(reason) => ChatResult::Broken(reason),
            Ok(response) => read_answer(response, call.stream).await,
        }
    }

    /// Sends any call to the router at `address`; gives the status, headers and body.
    ///
    /// # Errors
    ///
    /// Fails with a message when the connection does.
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
        let response = self.http.send(request, CALL_WAIT).await;
        response.map_err(|error| error.to_string())
    }
}

/// Reads a refusal from its headers and body.
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
            return ChatResult::Broken("a refusal broke off".to_owned());
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
        read_whole(body, &mut answer).await
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

async fn read_whole(body: Incoming, answer: &mut RigAnswer) -> Result<(), String> {
    let body = collect_limited(body, BODY_LIMIT).await;
    let body = body.map_err(|error| error.to_string())?;
    let whole: ChatAnswer = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let message = whole.choices.first().map(|choice| &choice.message.content);
    let text = message.and_then(Value::as_str).unwrap_or_default();
    answer.text = text.to_owned();
    answer.completion_tokens = whole.usage.completion_tokens;
    Ok(())
}

/// Reads up to the end mark and the end of the body; anything else is a broken answer.
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
            .map_err(|_| format!("an event that is no piece of an answer: {}", event.data))?;
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
    Err("the stream ended without its end mark".to_owned())
}
