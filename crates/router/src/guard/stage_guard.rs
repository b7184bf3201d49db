//! Picks a version of a stage among those that the guard allows.

use std::time::Duration;

use ferry_decisions::config::{ConfigView, TripPolicy};
use ferry_decisions::guard::GuardDecision;
use ferry_decisions::names::VersionName;
use ferry_decisions::routing::{ExclusionReason, RouteStage};

use super::ServedRequest;
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind, SessionRequest};
use crate::core::RouterCore;
use crate::dispatch::dispatch_checks;

/// Retry delay given to a caller when the limit on unrated answers is reached.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A version to dispatch to.
#[derive(Debug)]
pub struct GuardedPick {
    /// Version that serves the request.
    pub version: VersionName,
    /// The request as counted by the guard; `None` for a version without a roll-out and for a session
    /// that continues on a retired version.
    pub served: Option<ServedRequest>,
}

/// Picks one of the versions of `stage` that may serve now; adds the others to `excluded`.
///
/// # Errors
///
/// A refusal when no version may serve.
pub fn pick(
    core: &RouterCore,
    view: &ConfigView,
    request: &CallerRequest,
    stage: &RouteStage,
    excluded: &mut Vec<(VersionName, ExclusionReason)>,
) -> Result<GuardedPick, CallerRefusal> {
    let mut stage = stage.clone();
    let known = excluded.len();
    while !stage.versions.is_empty() {
        let version = dispatch_checks::pick_version(&stage, request).clone();
        match admit(core, view, request, &version) {
            Ok(served) => {
                return Ok(GuardedPick { version, served });
            }
            Err(reason) => {
                stage.versions.retain(|(name, _)| *name != version);
                excluded.push((version, reason));
            }
        }
    }
    Err(refusal(request, &excluded[known..]))
}

fn admit(
    core: &RouterCore,
    view: &ConfigView,
    request: &CallerRequest,
    version: &VersionName,
) -> Result<Option<ServedRequest>, ExclusionReason> {
    let entry = view.version(version.as_str());
    let Some(rollout) = entry.and_then(|entry| entry.spec.rollout.as_ref()) else {
        return Ok(None);
    };
    match core.guard.admit(version, rollout, &request.workspace) {
        Ok(served) => Ok(Some(served)),
        Err(GuardDecision::Tripped) => {
            let keeps_sessions = rollout.on_trip == TripPolicy::Retire;
            let in_session = matches!(request.session, SessionRequest::Continue(_));
            if keeps_sessions && in_session {
                return Ok(None);
            }
            Err(ExclusionReason::Tripped)
        }
        Err(_) => Err(ExclusionReason::UnratedLimit),
    }
}

fn refusal(request: &CallerRequest, excluded: &[(VersionName, ExclusionReason)]) -> CallerRefusal {
    let is_limit =
        |(_, reason): &(VersionName, ExclusionReason)| *reason == ExclusionReason::UnratedLimit;
    if excluded.iter().any(is_limit) {
        return CallerRefusal::retry_after(
            RefusalKind::RolloutLimit,
            "as many answers of the version in roll-out wait for their rating as may; send the request again later",
            LIMIT_RETRY_AFTER,
        );
    }
    if matches!(request.session, SessionRequest::Continue(_)) {
        return CallerRefusal::permanent(
            RefusalKind::SessionVersionWithdrawn,
            "the roll-out of the session's version was stopped; start a new session with `Ferry-Session: new`",
        );
    }
    CallerRefusal::permanent(
        RefusalKind::NoVersionAllowed,
        "the roll-out of every allowed version was stopped; ask an operator for another version",
    )
}
