//! Dispatches a call to a plain service.

use bytes::Bytes;
use ferry_decisions::ends::EndVerdict;
use ferry_kernel::http::{BodyFraming, HttpRequest, collect_limited};
use ferry_platform::engine::REQUEST_ID_HEADER;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response};

use super::engine_call::is_marked_not_run;
use super::run_answer::ServiceAnswer;
use super::service_end::judge_close;
use super::service_run::ServiceCall;
use super::{DispatchFailure, engine_call};
use crate::caller::CallerRequest;
use crate::core::RouterCore;
use crate::upstream::InFlightGuard;

/// Dispatches `call` to the upstream of `guard`. A response of the service is an answer whatever its
/// status, unless it states that the call was not run.
///
/// # Errors
///
/// Returns a failure whose kind shows whether the call may have run.
pub async fn call(
    core: &RouterCore,
    guard: InFlightGuard,
    request: &CallerRequest,
    call: &ServiceCall,
) -> Result<ServiceAnswer, DispatchFailure> {
    let outgoing = service_request(&guard.host().url(), request, call);
    let response = core.http.send(outgoing, request.time_left()).await?;
    if is_marked_not_run(response.headers()) {
        engine_call::check_status(core, &guard, response).await?;
        return Err(DispatchFailure::broken_answer(
            "a success that says it did not run",
        ));
    }
    let limit = core.settings.limits.answer_bytes;
    let (head, body) = Response::into_parts(response);
    let body = tokio::time::timeout_at(request.deadline, collect_limited(body, limit))
        .await
        .map_err(|_| DispatchFailure::deadline_passed())?
        .map_err(|error| DispatchFailure::broken_answer(&error.to_string()))?;
    let framing = BodyFraming::of(&call.method, &head);
    if framing == BodyFraming::UntilClose && judge_close(guard.host()).await != EndVerdict::Whole {
        return Err(DispatchFailure::broken_answer(
            "the answer may have been cut off",
        ));
    }
    Ok(ServiceAnswer {
        status: head.status,
        framing,
        headers: content_headers(&head.headers),
        body,
    })
}

fn service_request(url: &str, request: &CallerRequest, call: &ServiceCall) -> HttpRequest {
    let url = format!("{url}{}", call.path);
    let mut outgoing = HttpRequest::new(call.method.clone(), &url, Bytes::clone(&call.body));
    outgoing.headers = content_headers(&call.headers);
    if let Ok(id) = HeaderValue::from_str(request.id.as_str()) {
        let name = HeaderName::from_static(REQUEST_ID_HEADER);
        outgoing.headers.insert(name, id);
    }
    outgoing
}

/// Copies only the headers that describe the body.
fn content_headers(headers: &HeaderMap) -> HeaderMap {
    let content_type = headers.get(CONTENT_TYPE).cloned();
    content_type
        .map(|value| (CONTENT_TYPE, value))
        .into_iter()
        .collect()
}
