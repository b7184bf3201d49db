//! HTTP API of an engine.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::names::{RequestId, VersionName};
use ferry_kernel::http::{HttpBody, json_response};
use ferry_platform::engine::{ChatRequest, PRIORITY_HEADER, REQUEST_ID_HEADER};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};

use super::EngineState;
use super::answer_stream::RunReader;
use super::answer_text::answer_tokens;
use super::chat_run::{ChatRun, RunPhase};
use super::prefix_cache::PromptPrefixes;
use crate::counters::RunEvent;
use crate::reply;

/// Maximum size of a request body, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;
/// Maximum number of tokens in an answer.
const TOKEN_LIMIT: u32 = 100_000;

impl EngineState {
    /// Answers a call of the engines' published protocol.
    pub(crate) async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            (&Method::GET, "/load") => json_response(StatusCode::OK, &self.load_history.report()),
            (method, path) => match path.strip_prefix("/v1/streams/") {
                Some(rest) if method == Method::GET => self.resume_stream(rest, &request),
                Some(rest) if method == Method::POST => self.cancel_stream(rest),
                _ => not_found(),
            },
        }
    }

    /// Answers a call below `/standin/`.
    pub(crate) fn answer_control(&self, request: &Request<Incoming>) -> Response<HttpBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/counters") => {
                json_response(StatusCode::OK, &self.counters().report())
            }
            _ => not_found(),
        }
    }

    async fn complete(self: &Arc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        let (parts, body) = request.into_parts();
        let id = request_id(&parts.headers);
        let body = match reply::read_body(body, BODY_LIMIT).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse(&id, *refusal),
        };
        match self.accept(&id, &parts.headers, &body) {
            Ok(accepted) => {
                let reader = RunReader::new(self.clone(), accepted.run);
                if accepted.stream {
                    reader.answer_stream(0)
                } else {
                    reader.answer_whole().await
                }
            }
            Err(refusal) => self.refuse(&id, *refusal),
        }
    }

    /// Validates a request and queues it; the error is the refusal of a request that did not run.
    fn accept(
        &self,
        id: &RequestId,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<AcceptedRun, Box<Response<HttpBody>>> {
        if self.is_leaving() {
            let message = "the engine is leaving; send the request to another one";
            let refusal = reply::retry_later(StatusCode::SERVICE_UNAVAILABLE, message);
            return Err(Box::new(refusal));
        }
        let chat: ChatRequest = serde_json::from_slice(body).map_err(|problem| {
            let message = format!("the body is no chat request: {problem}; correct it");
            Box::new(reply::error(StatusCode::BAD_REQUEST, &message))
        })?;
        let version = self.check_version(&chat.model)?;
        let run = Arc::new(self.new_run(id, version, priority(headers), &chat, body));
        self.submit(&run).map_err(|full| {
            let refusal = reply::retry_later(StatusCode::TOO_MANY_REQUESTS, &full.to_string());
            Box::new(refusal)
        })?;
        Ok(AcceptedRun {
            run,
            stream: chat.stream,
        })
    }

    fn check_version(&self, model: &str) -> Result<VersionName, Box<Response<HttpBody>>> {
        let served = self
            .options
            .versions
            .iter()
            .find(|version| version.as_str() == model);
        served.cloned().ok_or_else(|| {
            let message = format!("this engine does not serve {model:?}; name a version it lists");
            Box::new(reply::error(StatusCode::NOT_FOUND, &message))
        })
    }

    fn new_run(
        &self,
        id: &RequestId,
        version: VersionName,
        priority: i64,
        chat: &ChatRequest,
        body: &Bytes,
    ) -> ChatRun {
        let limit = chat.max_tokens.unwrap_or(self.options.default_tokens);
        let count = limit.clamp(1, TOKEN_LIMIT);
        let bad = self
            .gate
            .order()
            .bad_answers
            .is_some_and(|fraction| rand::random::<f64>() < fraction);
        let tokens = answer_tokens(&chat.messages, &version, id, bad, count);
        let prompt = PromptPrefixes::new(&version, &chat.messages);
        let poison = self.gate.crash_for(body);
        ChatRun::new(id.clone(), version, priority, prompt, tokens, poison)
    }

    fn refuse(&self, id: &RequestId, refusal: Response<HttpBody>) -> Response<HttpBody> {
        self.counters().add(id, RunEvent::Refused);
        reply::not_run(refusal)
    }

    fn resume_stream(
        self: &Arc<Self>,
        id: &str,
        request: &Request<Incoming>,
    ) -> Response<HttpBody> {
        let from = reply::query_number(request.uri().query(), "from").unwrap_or(0) as usize;
        let Some(run) = self.find(id) else {
            return stream_not_found();
        };
        if from > run.tokens.len() {
            let message = "the answer has fewer tokens; name a token of the answer";
            return reply::error(StatusCode::BAD_REQUEST, message);
        }
        if run.phase() == RunPhase::Cancelled {
            return stream_not_found();
        }
        let reader = RunReader::new(self.clone(), run.clone());
        match self.resume(&run) {
            Ok(()) => reader.answer_stream(from),
            Err(full) => reply::retry_later(StatusCode::TOO_MANY_REQUESTS, &full.to_string()),
        }
    }

    fn cancel_stream(&self, rest: &str) -> Response<HttpBody> {
        let run = rest.strip_suffix("/cancel").and_then(|id| self.find(id));
        match run {
            Some(run) => {
                self.cancel(&run);
                json_response(StatusCode::OK, &())
            }
            None => stream_not_found(),
        }
    }
}

/// A queued request.
struct AcceptedRun {
    run: Arc<ChatRun>,
    stream: bool,
}

fn request_id(headers: &HeaderMap) -> RequestId {
    reply::header_text(headers, REQUEST_ID_HEADER).map_or_else(RequestId::generate, RequestId::new)
}

fn priority(headers: &HeaderMap) -> i64 {
    reply::header_text(headers, PRIORITY_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn stream_not_found() -> Response<HttpBody> {
    let message = "there is no such run any more; send the request again";
    reply::error(StatusCode::NOT_FOUND, message)
}

fn not_found() -> Response<HttpBody> {
    let message = "there is no such call; the engines' protocol lists them";
    reply::error(StatusCode::NOT_FOUND, message)
}
