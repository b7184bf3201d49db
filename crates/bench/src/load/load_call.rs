//! Sends one request, reads its response to the end and measures the times.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::names::RequestId;
use ferry_kernel::http::{HttpClient, HttpRequest, collect_limited};
use ferry_platform::engine::{ChatMessage, STREAM_END};
use ferry_standin::digest::message_digest;
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::LoadStream;

/// Timeout for the response headers, and for each pause within the body.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of the body of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// One request that the load sends.
#[derive(Debug, Clone)]
pub(super) struct LoadCall {
    pub(super) target: SocketAddr,
    pub(super) model: String,
    pub(super) key: String,
    pub(super) class: PriorityClass,
    pub(super) stream: bool,
    pub(super) tokens: u32,
    /// Prompt that is unique within the run, so that an answer can be matched to its call.
    pub(super) prompt: String,
}

/// How a call ended.
#[derive(Debug)]
pub(super) enum CallOutcome {
    /// The complete answer arrived.
    Answered(CallTimes),
    /// A complete answer arrived, but it belongs to another request.
    WrongAnswer,
    /// The call was refused; holds the error type, or the HTTP status if the body has none.
    Refused(String),
    /// The connection failed or the answer ended early.
    Broken,
}

/// Times of an answered call.
#[derive(Debug, Default)]
pub(super) struct CallTimes {
    /// Time from when the call was due to the first chunk of its answer.
    pub(super) first: Duration,
    /// Time from when the call was due to the end of its answer.
    pub(super) total: Duration,
    /// Times between successive chunks of the answer.
    pub(super) gaps: Vec<Duration>,
}

/// Body of a refusal, reduced to the error type by which refusals are counted.
#[derive(Deserialize)]
struct RefusalDocument {
    error: RefusalError,
}

#[derive(Deserialize)]
struct RefusalError {
    r#type: String,
}

impl LoadCall {
    /// Creates call number `index` of `stream` to `target`.
    pub(super) fn new(stream: &LoadStream, target: SocketAddr, seed: u64, index: usize) -> Self {
        Self {
            target,
            model: stream.model.clone(),
            key: stream.bearer_key(),
            class: stream.class,
            stream: stream.stream,
            tokens: stream.tokens,
            prompt: format!("load {seed} call {index}"),
        }
    }

    /// Sends the call, reads its answer and measures times from `due`.
    pub(super) async fn send(self, http: &HttpClient, due: Instant) -> CallOutcome {
        match http.send(self.request(), CALL_TIMEOUT).await {
            Ok(response) if response.status().is_success() => self.read(response, due).await,
            Ok(response) => read_refusal(response).await,
            Err(_) => CallOutcome::Broken,
        }
    }

    fn request(&self) -> HttpRequest {
        let body = json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.prompt }],
            "stream": self.stream,
            "max_tokens": self.tokens,
        });
        let url = format!("http://{}/v1/chat/completions", self.target);
        let mut request = HttpRequest::post_json(&url, &body).bearer(&self.key);
        let headers = [
            ("idempotency-key", RequestId::generate().as_str().to_owned()),
            ("ferry-class", self.class.name().to_owned()),
        ];
        for (name, text) in headers {
            if let Ok(value) = HeaderValue::from_str(&text) {
                request.headers.insert(name, value);
            }
        }
        request
    }

    async fn read(&self, response: Response<Incoming>, due: Instant) -> CallOutcome {
        let mut times = CallTimes::default();
        let mut text = Vec::new();
        let mut last = None;
        let mut body = BodyDataStream::new(response.into_body());
        loop {
            let next = tokio::time::timeout(CALL_TIMEOUT, body.next());
            match next.await {
                Ok(Some(Ok(chunk))) => {
                    let now = Instant::now();
                    match last.replace(now) {
                        None => times.first = now - due,
                        Some(before) => times.gaps.push(now - before),
                    }
                    text.extend_from_slice(&chunk);
                }
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => return CallOutcome::Broken,
            }
        }
        times.total = due.elapsed();
        self.check_answer(&String::from_utf8_lossy(&text), times)
    }

    fn check_answer(&self, text: &str, times: CallTimes) -> CallOutcome {
        if self.stream && !text.contains(STREAM_END) {
            return CallOutcome::Broken;
        }
        let message = ChatMessage {
            role: "user".to_owned(),
            content: self.prompt.as_str().into(),
            rest: Default::default(),
        };
        if text.contains(&message_digest(&[message])) {
            CallOutcome::Answered(times)
        } else {
            CallOutcome::WrongAnswer
        }
    }
}

async fn read_refusal(response: Response<Incoming>) -> CallOutcome {
    let status = response.status();
    let Ok(body) = collect_limited(response.into_body(), MAX_REFUSAL_BYTES).await else {
        return CallOutcome::Broken;
    };
    let document = serde_json::from_slice::<RefusalDocument>(&body);
    let kind = document.map_or_else(|_| status.to_string(), |refusal| refusal.error.r#type);
    CallOutcome::Refused(kind)
}
