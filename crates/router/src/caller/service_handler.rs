//! Handles calls to plain services: reads the call, starts or joins its run, and responds with the
//! result.

use std::sync::Arc;

use ferry_decisions::names::ServiceName;
use ferry_decisions::retry::RunState;
use ferry_kernel::http::{HttpBody, full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::timeout_at;

use super::caller_refusal::REQUEST_ID_ANSWER_HEADER;
use super::caller_request::collect_body;
use super::caller_server::{SERVICES_PREFIX, count_refusal, join_timed_out};
use super::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;
use crate::dispatch::{ServiceAnswer, ServiceCall, ServiceRun};
use crate::joins::{JoinStart, RunPublisher, SharedHead, other_request};

/// Answers one call.
pub async fn handle(
    core: &Arc<RouterCore>,
    request: Request<Incoming>,
    permit: OwnedSemaphorePermit,
) -> Result<Response<HttpBody>, CallerRefusal> {
    let (head, body) = request.into_parts();
    let is_idempotent = is_idempotent(&head.method);
    let request = CallerRequest::read(core, &head.headers, &head.extensions, is_idempotent)?;
    let id = request.id.clone();
    let (service, path) = split_path(&head)?;
    let body = collect_body(core, &request, body).await?.into_bytes();
    let call = ServiceCall {
        service,
        path,
        method: head.method,
        headers: head.headers,
        body,
    };
    let fingerprint = call.fingerprint();
    let deadline = request.deadline;
    let answer = match core.joins.join_or_start(&request.key(), fingerprint)? {
        JoinStart::First(publisher, mut listener) => {
            start(core, request, call, publisher, permit);
            listener.head().await
        }
        JoinStart::Joined(mut listener) => {
            let head = timeout_at(deadline, listener.head()).await;
            head.unwrap_or_else(|_| Err(join_timed_out()))
        }
    };
    match answer {
        Ok(SharedHead::Service(answer)) => Ok(to_response(answer, id.as_str())),
        Ok(SharedHead::Whole(..) | SharedHead::Stream(_)) => Err(other_request()),
        Err(refusal) => {
            count_refusal(&refusal);
            Ok(refusal.to_response(Some(&id)))
        }
    }
}

/// Starts the run of `call`; its answer goes to all listeners of `publisher`.
fn start(
    core: &Arc<RouterCore>,
    request: CallerRequest,
    call: ServiceCall,
    publisher: RunPublisher,
    permit: OwnedSemaphorePermit,
) {
    let (sender, receiver) = oneshot::channel();
    let run = ServiceRun::new(Arc::clone(core), request, call);
    core.work.spawn(async move {
        run.execute(sender).await;
        drop(permit);
    });
    tokio::spawn(publisher.publish_service_answer(receiver, missing_answer()));
}

fn missing_answer() -> CallerRefusal {
    CallerRefusal::permanent(
        RefusalKind::UpstreamFailed,
        "the run ended without an answer; look up its outcome before sending it again",
    )
    .with_run(RunState::MayHaveRun)
}

/// Whether a call is idempotent if its headers do not state it.
fn is_idempotent(method: &Method) -> bool {
    *method != Method::POST && *method != Method::PATCH
}

/// Splits `/services/NAME/PATH` into the name and the path with its query.
fn split_path(head: &Parts) -> Result<(ServiceName, String), CallerRefusal> {
    let path = head.uri.path();
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    if name.is_empty() {
        return Err(CallerRefusal::permanent(
            RefusalKind::BadRequest,
            "the path names no service; write /services/NAME/PATH",
        ));
    }
    let query = head.uri.query().map(|query| format!("?{query}"));
    let path = format!("/{path}{}", query.unwrap_or_default());
    Ok((ServiceName::new(name), path))
}

fn to_response(answer: ServiceAnswer, id: &str) -> Response<HttpBody> {
    let framing = answer.framing;
    let mut response = Response::new(full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    if let Ok(value) = HeaderValue::from_str(id) {
        response
            .headers_mut()
            .insert(REQUEST_ID_ANSWER_HEADER, value);
    }
    framing.apply(response)
}
