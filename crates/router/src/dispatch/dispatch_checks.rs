//! Checks of a request, made when its run starts and again before every dispatch.

use ferry_decisions::config::ConfigView;
use ferry_decisions::hash_point;
use ferry_decisions::names::{ServiceName, VersionName};
use ferry_decisions::routing::{RoutePlan, RouteQuery, RouteStage, SessionBinding};
use xxhash_rust::xxh3::xxh3_64;

use crate::caller::{CallerRefusal, CallerRequest, RefusalKind, SessionRequest};
use crate::core::RouterCore;

/// Checks the configuration lease and the deadline before a dispatch, including retries and later
/// stages.
///
/// # Errors
///
/// Returns a refusal for this dispatch; the calling function adds whether earlier dispatches ran.
pub fn check_dispatch(core: &RouterCore, request: &CallerRequest) -> Result<(), CallerRefusal> {
    core.lease.check()?;
    if request.time_left().is_zero() {
        return Err(CallerRefusal::permanent(
            RefusalKind::DeadlinePassed,
            "the deadline passed; send a longer Ferry-Deadline-Ms",
        ));
    }
    Ok(())
}

/// Computes the route of `request` to `target` under `view`.
///
/// # Errors
///
/// Returns a refusal when no version may be used.
pub fn plan(
    view: &ConfigView,
    request: &CallerRequest,
    target: &str,
) -> Result<RoutePlan, CallerRefusal> {
    let session = match &request.session {
        SessionRequest::None | SessionRequest::New => SessionBinding::New,
        SessionRequest::Continue(token) => SessionBinding::Session(&token.pins),
    };
    let query = RouteQuery {
        workspace: &request.workspace,
        labels: &request.labels,
        target,
        session,
        idempotent: request.idempotent,
    };
    Ok(RoutePlan::compute(view, &query)?)
}

/// Picks the version of `stage` by a hash of the request id, so that the choice stays the same as
/// long as the configuration does not change.
pub fn pick_version<'a>(stage: &'a RouteStage, request: &CallerRequest) -> &'a VersionName {
    let hash = xxh3_64(request.id.as_str().as_bytes());
    stage.pick(hash_point(hash))
}

/// Checks that the workspace of `request` may call `service`.
///
/// # Errors
///
/// Returns a refusal that names the remedy.
pub fn check_service(
    core: &RouterCore,
    request: &CallerRequest,
    service: &ServiceName,
) -> Result<(), CallerRefusal> {
    let view = core.config.view();
    let workspace = view.workspaces.get(&request.workspace);
    if workspace.is_some_and(|workspace| workspace.services.contains(service)) {
        return Ok(());
    }
    Err(CallerRefusal::permanent(
        RefusalKind::Forbidden,
        format!(
            "this workspace may not call {service}; ask an operator to list it under the workspace's services"
        ),
    ))
}
