//! Routes callers' requests by path and limits the number in progress.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::{CascadeName, ModelName, RequestId};
use ferry_decisions::retry::RunState;
use ferry_kernel::http::{HttpBody, json_response};
use ferry_kernel::panics;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;

use super::caller_request::caller_chosen_id;
use super::{CallerRefusal, CallerRequest, RefusalKind, chat_handler, service_handler};
use crate::core::{LifecyclePhase, RouterCore};

/// Path of chat completions.
pub(super) const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path prefix of calls to plain services.
pub(super) const SERVICES_PREFIX: &str = "/services/";
/// `Retry-After` when the router is stopping or has too many requests in progress.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers one request of a caller; a panic costs this request only.
pub async fn handle(core: Arc<RouterCore>, request: Request<Incoming>) -> Response<HttpBody> {
    let id = caller_chosen_id(request.headers());
    let answered = panics::caught(answer(&core, request)).await;
    match answered.unwrap_or_else(|| Err(router_failed(id.as_ref()))) {
        Ok(response) => response,
        Err(refusal) => {
            count_refusal(&refusal);
            refusal.to_response(id.as_ref())
        }
    }
}

/// Refusal of the request `id`, whose task panicked.
fn router_failed(id: Option<&RequestId>) -> CallerRefusal {
    spdlog::error!("the task of a request panicked", kv: { request_id = id.map_or("", RequestId::as_str) });
    CallerRefusal::permanent(
        RefusalKind::RouterFailed,
        "the router failed while it answered this request; send it again under the same id if it is idempotent",
    )
    .with_run(RunState::MayHaveRun)
}

/// Counts a refusal by its kind.
pub(super) fn count_refusal(refusal: &CallerRefusal) {
    metrics::counter!("ferry_refusals_total", "kind" => refusal.kind.name()).increment(1);
}

/// Refusal of a send whose deadline passed before the run that it joined answered.
pub(super) fn join_timed_out() -> CallerRefusal {
    CallerRefusal::permanent(
        RefusalKind::DeadlinePassed,
        "an earlier send of this request is still running; send it again under the same id with a longer Ferry-Deadline-Ms",
    )
    .with_run(RunState::MayHaveRun)
}

async fn answer(
    core: &Arc<RouterCore>,
    request: Request<Incoming>,
) -> Result<Response<HttpBody>, CallerRefusal> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, COMPLETIONS_PATH) => {
            let permit = acquire_permit(core)?;
            chat_handler::handle(core, request, permit).await
        }
        (&Method::GET, "/v1/models") => list_models(core, &request),
        (_, path) if path.starts_with(SERVICES_PREFIX) => {
            let permit = acquire_permit(core)?;
            service_handler::handle(core, request, permit).await
        }
        _ => Err(CallerRefusal::permanent(
            RefusalKind::Unknown,
            format!(
                "nothing is served at {path}; use /v1/chat/completions, /v1/models or /services/NAME/PATH"
            ),
        )),
    }
}

/// Acquires the permit for one request in progress.
///
/// # Errors
///
/// Returns a refusal while the router drains or when no permit is free.
fn acquire_permit(core: &RouterCore) -> Result<OwnedSemaphorePermit, CallerRefusal> {
    if core.phase() == LifecyclePhase::Draining {
        return Err(CallerRefusal::retry_after(
            RefusalKind::Stopping,
            "this router stops; send the request to another one",
            OVERLOAD_RETRY_AFTER,
        ));
    }
    Arc::clone(&core.request_permits)
        .try_acquire_owned()
        .map_err(|_| {
            CallerRefusal::retry_after(
                RefusalKind::Overloaded,
                "too many requests are in progress here; send the request again later",
                OVERLOAD_RETRY_AFTER,
            )
        })
}

fn list_models(
    core: &RouterCore,
    request: &Request<Incoming>,
) -> Result<Response<HttpBody>, CallerRefusal> {
    CallerRequest::read(core, request.headers(), request.extensions(), true)?;
    let view = core.config.view();
    let models = view.models.keys().map(ModelName::as_str);
    let cascades = view.cascades.keys().map(CascadeName::as_str);
    let versions = view.versions.iter().map(|entry| entry.name.as_str());
    let mut names: Vec<_> = models.chain(cascades).chain(versions).collect();
    names.sort_unstable();
    let data: Vec<_> = names
        .iter()
        .map(|name| json!({ "id": name, "object": "model" }))
        .collect();
    let list = json!({ "object": "list", "data": data });
    Ok(json_response(StatusCode::OK, &list))
}
