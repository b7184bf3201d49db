//! Handles chat completions: reads the request, starts or joins its run, and responds with the result.

use std::sync::Arc;

use ferry_decisions::retry::RunState;
use ferry_kernel::http::{BodyRoom, HttpBody, full, streamed};
use ferry_platform::engine::ChatRequest;
use futures::StreamExt;
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::timeout_at;

use super::caller_refusal::REQUEST_ID_ANSWER_HEADER;
use super::caller_request::{SESSION_HEADER, collect_body};
use super::caller_server::{COMPLETIONS_PATH, count_refusal, join_timed_out};
use super::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;
use crate::dispatch::{ChatRun, RunHead};
use crate::joins::{
    JoinStart, RequestFingerprint, RunListener, RunPublisher, SharedHead, other_request,
};

/// Answers one chat completion.
pub async fn handle(
    core: &Arc<RouterCore>,
    request: Request<Incoming>,
    permit: OwnedSemaphorePermit,
) -> Result<Response<HttpBody>, CallerRefusal> {
    let (head, body) = request.into_parts();
    let request = CallerRequest::read(core, &head.headers, &head.extensions, true)?;
    let id = request.id.clone();
    let (body, room) = collect_body(core, &request, body).await?.into_parts();
    let chat = parse_chat(&body)?;
    let fingerprint = RequestFingerprint::new("POST", COMPLETIONS_PATH, &head.headers, &body);
    drop(body);
    let deadline = request.deadline;
    let answer = match core.joins.join_or_start(&request.key(), fingerprint)? {
        JoinStart::First(publisher, listener) => {
            start(core, request, HeldChat { chat, room }, publisher, permit);
            answer_from(listener, None).await
        }
        JoinStart::Joined(listener) => {
            drop((chat, room));
            let answer = timeout_at(deadline, answer_from(listener, Some(permit)));
            answer.await.unwrap_or_else(|_| Err(join_timed_out()))
        }
    };
    answer.or_else(|refusal| {
        count_refusal(&refusal);
        Ok(refusal.to_response(Some(&id)))
    })
}

/// A chat and the room for it.
struct HeldChat {
    chat: ChatRequest,
    room: BodyRoom,
}

/// Starts the run of `request`; its answer goes to all listeners of `publisher`.
fn start(
    core: &Arc<RouterCore>,
    request: CallerRequest,
    held: HeldChat,
    publisher: RunPublisher,
    permit: OwnedSemaphorePermit,
) {
    let (sender, receiver) = oneshot::channel();
    let HeldChat { chat, room } = held;
    let run = ChatRun::new(Arc::clone(core), request, chat);
    core.work.spawn(async move {
        run.execute(sender).await;
        drop((permit, room));
    });
    tokio::spawn(publisher.publish_completion(receiver, missing_answer()));
}

/// Builds the response from the answer that `listener` receives; holds `permit` until the response
/// ends.
async fn answer_from(
    mut listener: RunListener,
    permit: Option<OwnedSemaphorePermit>,
) -> Result<Response<HttpBody>, CallerRefusal> {
    match listener.head().await? {
        SharedHead::Whole(head, body) => {
            let mut response = Response::new(full(body));
            set_headers(&mut response, &head, "application/json");
            Ok(response)
        }
        SharedHead::Stream(head) => {
            let events = listener.into_events().map(move |event| {
                let _kept = &permit;
                event
            });
            let mut response = Response::new(streamed(events));
            set_headers(&mut response, &head, "text/event-stream");
            let no_cache = HeaderValue::from_static("no-cache");
            response.headers_mut().insert(CACHE_CONTROL, no_cache);
            Ok(response)
        }
        SharedHead::Service(_) => Err(other_request()),
    }
}

fn parse_chat(body: &[u8]) -> Result<ChatRequest, CallerRefusal> {
    let bad = |detail: String| CallerRefusal::permanent(RefusalKind::BadRequest, detail);
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

fn missing_answer() -> CallerRefusal {
    CallerRefusal::permanent(
        RefusalKind::UpstreamFailed,
        "the run ended without an answer; send the request again under the same id",
    )
    .with_run(RunState::MayHaveRun)
}
