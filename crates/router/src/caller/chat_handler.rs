//! Chat completions: reads the request, starts its run, answers with its result.

use std::sync::Arc;

use ferry_decisions::retry::RunState;
use ferry_kernel::http::{HttpBody, collect_limited, full, streamed};
use ferry_platform::engine::ChatRequest;
use futures::StreamExt;
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio_stream::wrappers::ReceiverStream;

use super::caller_refusal::REQUEST_ID_ANSWER_HEADER;
use super::caller_request::SESSION_HEADER;
use super::caller_server::count_refusal;
use super::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;
use crate::dispatch::{ChatRun, RunAnswer, RunHead};

/// Answers one chat completion.
pub async fn handle(
    core: &Arc<RouterCore>,
    request: Request<Incoming>,
    place: OwnedSemaphorePermit,
) -> Result<Response<HttpBody>, CallerRefusal> {
    let (head, body) = request.into_parts();
    let request = CallerRequest::read(core, &head.headers, true)?;
    let id = request.id.clone();
    let body = collect_limited(body, core.settings.limits.body_bytes).await?;
    let chat = parse_chat(&body)?;
    let (sender, receiver) = oneshot::channel();
    let run = ChatRun::new(Arc::clone(core), request, chat);
    core.work.spawn(async move {
        run.execute(sender).await;
        drop(place);
    });
    let answer = match receiver.await {
        Ok(Ok(answer)) => answer,
        Ok(Err(refusal)) => {
            count_refusal(&refusal);
            return Ok(refusal.to_response(Some(&id)));
        }
        Err(_) => return Err(run_lost()),
    };
    Ok(to_response(answer))
}

fn parse_chat(body: &[u8]) -> Result<ChatRequest, CallerRefusal> {
    let bad = |detail: String| CallerRefusal::final_one(RefusalKind::BadRequest, detail);
    let chat: ChatRequest = serde_json::from_slice(body).map_err(|error| {
        bad(format!(
            "the body is not a chat completion request: {error}"
        ))
    })?;
    if chat.messages.is_empty() {
        return Err(bad("messages: send at least one".to_owned()));
    }
    Ok(chat)
}

fn to_response(answer: RunAnswer) -> Response<HttpBody> {
    match answer {
        RunAnswer::Whole { head, body } => {
            let mut response = Response::new(full(body));
            set_headers(&mut response, &head, "application/json");
            response
        }
        RunAnswer::Stream { head, events } => {
            let mut response = Response::new(streamed(ReceiverStream::new(events).boxed()));
            set_headers(&mut response, &head, "text/event-stream");
            let no_cache = HeaderValue::from_static("no-cache");
            response.headers_mut().insert(CACHE_CONTROL, no_cache);
            response
        }
    }
}

fn set_headers(response: &mut Response<HttpBody>, head: &RunHead, content: &'static str) {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content));
    let texts = [
        (REQUEST_ID_ANSWER_HEADER, Some(head.request.as_str())),
        ("ferry-version", Some(head.version.as_str())),
        (SESSION_HEADER, head.session.as_deref()),
    ];
    for (name, text) in texts {
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(text).ok()) {
            headers.insert(name, value);
        }
    }
}

fn run_lost() -> CallerRefusal {
    CallerRefusal::final_one(
        RefusalKind::UpstreamFailed,
        "the run ended without an answer; send the request again under the same id",
    )
    .with_run(RunState::MayHaveRun)
}
