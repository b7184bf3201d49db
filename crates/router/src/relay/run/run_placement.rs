//! Choice of the upstream of a service that a request is sent to.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::choice::{
    ChoiceConfig, ChoicePoints, ChoiceQuery, NoUpstream, UpstreamChoice, UpstreamState,
    UpstreamView,
};
use ferry_decisions::hash_point;
use ferry_decisions::names::{HostName, ServiceName, ZoneName};
use ferry_decisions::rollout::{VersionSide, confirmed_versions};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::WorkRefusal;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::upstream_filter::UpstreamFilter;
use super::work_placement::{
    LateChoice, TimeCheck, WorkRequest, candidate_report, choose_by_work, expected_work,
    with_suspects,
};
use crate::relay::RelayCore;
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::permits::{cold_rate, limited_rate, needs_permit, permit_wait};
use crate::relay::request::RelayRequest;
use crate::relay::rollouts::VersionPick;
use crate::relay::status::{CandidateReport, Exclusion};
use crate::relay::upstreams::RelayUpstream;

/// Number of upstreams of a service up to which the choice needs no heap allocation.
pub(super) const INLINE_UPSTREAMS: usize = 32;

/// Settings of the choice for prompts with long shared parts, where processing a part again costs more than a
/// short wait.
const AFFINITY_CHOICE: ChoiceConfig = ChoiceConfig {
    remote_zone_factor: 1.05,
    affinity_bound: 1.25,
    affinity_slack: 6.0,
    affinity_homes: 2,
};

/// Upstreams that the version pick of a request allows.
type EligibleUpstreams<'a> = SmallVec<[&'a Arc<RelayUpstream>; INLINE_UPSTREAMS]>;

/// Hash of the request's conversation as a uniform number in `0.0..1.0`, the same for all its requests.
pub fn conversation_point(request: &RelayRequest) -> f64 {
    hash_point(xxh3_64(request.conversation_id().as_bytes()))
}

/// Random numbers of one choice.
pub fn random_points() -> ChoicePoints {
    ChoicePoints {
        first: rand::random(),
        second: rand::random(),
        turn: 0,
    }
}

/// What the next send of a request needs of its upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// Service of the upstream.
    pub service: &'a ServiceName,
    /// Model that the router chose; absent if it chose none.
    pub model: Option<&'a str>,
    /// Upstreams that failed the request.
    pub failed_at: &'a [HostName],
    /// Upstreams that answered it with a smaller model.
    pub answered_at: &'a [HostName],
    /// Versions that the roll-out allows; absent if the service has none.
    pub pick: Option<&'a VersionPick>,
    /// Whether suspect upstreams are used when no other one is left.
    pub uses_suspects: bool,
    /// Time left for the answer.
    pub time_left: Duration,
    /// How strictly it must suffice.
    pub check: TimeCheck,
    /// Whether upstreams that need no permit are preferred, as too many were asked for without success.
    pub avoids_permits: bool,
    /// Random numbers of the choice.
    pub points: ChoicePoints,
}

/// Why a request is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// No upstream may be used.
    #[error(transparent)]
    NoUpstream(#[from] NoUpstream),
    /// No upstream is expected to answer in time.
    #[error(transparent)]
    Late(LateChoice),
}

/// Chooses the upstream that `request` is sent to next.
///
/// Not used are upstreams in an evacuated zone or outside the request's regions, those that failed or answered it, and those that asked for a
/// pause or are at their limit. Suspect ones are used only if the query allows it and no other one is left.
///
/// # Errors
///
/// Fails when no upstream may be used, or none is expected to answer in time.
pub fn choose_upstream(
    core: &RelayCore,
    request: &RelayRequest,
    query: &PlacementQuery<'_>,
) -> Result<Arc<RelayUpstream>, PlacementError> {
    let now = core.clock.now();
    let list = core.upstreams.of_service(query.service);
    let filter = UpstreamFilter::of(core, request, now);
    let mut eligible = allowed_versions(core, &filter, &list, query, now);
    eligible.retain(|upstream| exclusion(core, &filter, upstream, now).is_none());
    if query.avoids_permits {
        let free = eligible.iter().copied();
        let free: EligibleUpstreams<'_> = free
            .filter(|upstream| !needs_permit(core, &upstream.record, now))
            .collect();
        if let Ok(chosen) = choose_eligible(core, request, query, &free, now) {
            return Ok(chosen);
        }
    }
    choose_eligible(core, request, query, &eligible, now)
}

/// Chooses one of `eligible` by expected completion, or by load while that is not known.
fn choose_eligible(
    core: &RelayCore,
    request: &RelayRequest,
    query: &PlacementQuery<'_>,
    eligible: &[&Arc<RelayUpstream>],
    now: MonotonicTime,
) -> Result<Arc<RelayUpstream>, PlacementError> {
    let views: SmallVec<[UpstreamView<'_>; INLINE_UPSTREAMS]> =
        eligible.iter().map(|upstream| upstream.view(now)).collect();
    let excluded = query.failed_at.iter().chain(query.answered_at);
    let excluded: SmallVec<[HostName; 4]> = excluded.cloned().collect();
    let zone: ZoneName = core.settings.load().zone.clone();
    let affinity = affinity(request, query.model);
    let points = query.points;
    let work = match query.check {
        TimeCheck::Trial => None,
        TimeCheck::Tolerant | TimeCheck::Strict => {
            expected_work(core, request, query.service, query.model)
        }
    };
    let choose = |views: &[UpstreamView<'_>]| match work {
        Some(work) => {
            let query = WorkRequest {
                request,
                work,
                zone: &zone,
                affinity,
                tried: &excluded,
                time_left: query.time_left,
                check: query.check,
            };
            let placed = choose_by_work(core, eligible, views, &query, points, now);
            placed
                .map(|placement| placement.index)
                .map_err(|refusal| match refusal {
                    WorkRefusal::NoUpstream(error) => PlacementError::NoUpstream(error),
                    WorkRefusal::Busy { .. } | WorkRefusal::TooLong { .. } => {
                        let late = LateChoice::new(refusal, core, eligible, views, &excluded, now);
                        PlacementError::Late(late)
                    }
                })
        }
        None => {
            let query = ChoiceQuery {
                zone: &zone,
                affinity,
                tried: &excluded,
            };
            let choice = UpstreamChoice {
                config: AFFINITY_CHOICE,
                ..UpstreamChoice::default()
            };
            choice
                .choose(views, &query, points)
                .map_err(PlacementError::from)
        }
    };
    let index = choose(&views).or_else(|error| match (error, query.uses_suspects) {
        (PlacementError::NoUpstream(_), true) => choose(&with_suspects(&views)),
        _ => Err(error),
    })?;
    Ok(Arc::clone(eligible[index]))
}

/// Why `upstream` is no candidate for a request, whatever its load; `None` if it is one.
fn exclusion(
    core: &RelayCore,
    filter: &UpstreamFilter<'_>,
    upstream: &RelayUpstream,
    now: MonotonicTime,
) -> Option<Exclusion> {
    if let Some(exclusion) = filter.exclusion(upstream) {
        return Some(exclusion);
    }
    blocked_for(core, upstream, now)?;
    if upstream.pause_left().is_some() {
        return Some(Exclusion::Pausing);
    }
    match cold_rate(core, &upstream.record, now) {
        Some(_) => Some(Exclusion::ColdWithoutPermit),
        None => Some(Exclusion::AtLimit),
    }
}

/// The upstreams of the query's service, with the figures and reasons by which [`choose_upstream`] takes or excludes each.
pub fn explain_candidates(
    core: &RelayCore,
    request: &RelayRequest,
    query: &PlacementQuery<'_>,
) -> Vec<CandidateReport> {
    let now = core.clock.now();
    let list = core.upstreams.of_service(query.service);
    let filter = UpstreamFilter::of(core, request, now);
    let allowed = allowed_versions(core, &filter, &list, query, now);
    let is_allowed = |upstream| allowed.iter().any(|other| Arc::ptr_eq(other, upstream));
    let zone: ZoneName = core.settings.load().zone.clone();
    let tried: Vec<HostName> = query.failed_at.to_vec();
    let work = expected_work(core, request, query.service, query.model);
    let work = work.map(|work| WorkRequest {
        request,
        work,
        zone: &zone,
        affinity: affinity(request, query.model),
        tried: &tried,
        time_left: query.time_left,
        check: query.check,
    });
    let reports = list.iter().map(|upstream| {
        let view = upstream.view(now);
        let state = match view.state {
            UpstreamState::Leaving => Some(Exclusion::Leaving),
            UpstreamState::Suspect if upstream.is_full(now) => Some(Exclusion::Full),
            UpstreamState::Suspect => Some(Exclusion::Suspect),
            UpstreamState::Live => None,
        };
        let version = (!is_allowed(upstream)).then_some(Exclusion::OtherVersion);
        let is_tried = query.failed_at.contains(view.name);
        let reasons = [
            exclusion(core, &filter, upstream, now),
            version,
            state,
            is_tried.then_some(Exclusion::Tried),
        ];
        CandidateReport {
            excluded: reasons.into_iter().flatten().collect(),
            needs_permit: needs_permit(core, &upstream.record, now),
            is_cold: cold_rate(core, &upstream.record, now).is_some(),
            ..candidate_report(core, upstream, view, work.as_ref(), now)
        }
    });
    reports.collect()
}

/// Time after which the caller of `request` may return if no upstream of `service` takes it now, since each asked for a pause or is at its
/// limit; `None` if none did. Each caller that is told gets a later time, unless the call only explains the refusal.
pub fn soonest_return(
    core: &RelayCore,
    request: &RelayRequest,
    service: &ServiceName,
    is_explained: bool,
) -> Option<Duration> {
    let now = core.clock.now();
    let filter = UpstreamFilter::of(core, request, now);
    let list = core.upstreams.of_service(service);
    let serving = || list.iter().filter(|upstream| !filter.is_out(upstream));
    let soonest = serving()
        .filter_map(|upstream| blocked_for(core, upstream, now))
        .min()?;
    let rates = serving().filter_map(|upstream| limited_rate(core, &upstream.record, now));
    let per_second: f64 = rates.sum();
    if per_second == 0.0 {
        return Some(soonest);
    }
    let routers = core.fleet.router_count();
    let permits = &core.permits;
    let return_time = match is_explained {
        true => permits.peek_return_time(service, per_second, routers, now),
        false => permits.return_time(service, per_second, routers, now),
    };
    Some(soonest.max(return_time))
}

/// Time for which an upstream gets no request, because it asked for a pause or is at its limit.
fn blocked_for(core: &RelayCore, upstream: &RelayUpstream, now: MonotonicTime) -> Option<Duration> {
    let permit_wait = permit_wait(core, &upstream.record, now);
    upstream.pause_left().max(permit_wait)
}

/// The upstreams of the versions that the query allows; all upstreams if each of the allowed ones is leaving or excluded.
fn allowed_versions<'a>(
    core: &RelayCore,
    filter: &UpstreamFilter<'_>,
    list: &'a [Arc<RelayUpstream>],
    query: &PlacementQuery<'_>,
    now: MonotonicTime,
) -> EligibleUpstreams<'a> {
    let Some(pick) = query.pick else {
        return versions_without_order(core, filter, list);
    };
    let allows = |upstream: &RelayUpstream| {
        let is_target = upstream.record.version == pick.target;
        is_target == (pick.side == VersionSide::Target)
    };
    let allowed: EligibleUpstreams<'a> = list.iter().filter(|upstream| allows(upstream)).collect();
    if allowed.iter().all(|upstream| filter.is_out(upstream)) {
        return list.iter().collect();
    }
    match (pick.side, pick.spread) {
        (VersionSide::Target, Some((plan, phase))) => {
            let base = list.iter().filter(|upstream| !filter.is_out(upstream));
            let base = base.filter(|upstream| !allows(upstream)).count();
            let targets = allowed.iter();
            let targets = targets.filter(|upstream| !filter.excludes(upstream));
            let count = plan.target_upstreams(phase, targets.count(), base);
            loaded_targets(core, filter, allowed, count + query.answered_at.len(), now)
        }
        _ => allowed,
    }
}

/// The upstreams of the versions that may be used while no order is known; all upstreams if each of these is leaving or excluded.
fn versions_without_order<'a>(
    core: &RelayCore,
    filter: &UpstreamFilter<'_>,
    list: &'a [Arc<RelayUpstream>],
) -> EligibleUpstreams<'a> {
    let confirmed_age = core.operator_topic.age();
    let now = ConfirmationTime::now();
    let listed = || list.iter().map(|upstream| upstream.listed_version(now));
    if listed().all(|listed| listed.is_confirmed(confirmed_age)) {
        return list.iter().collect();
    }
    let versions = confirmed_versions(listed(), confirmed_age);
    let is_usable = |upstream: &RelayUpstream| versions.contains(&&upstream.record.version);
    let usable: EligibleUpstreams<'a> =
        list.iter().filter(|upstream| is_usable(upstream)).collect();
    if usable.iter().all(|upstream| filter.is_out(upstream)) {
        return list.iter().collect();
    }
    usable
}

/// The first `count` by id of the upstreams of a new version that can take requests; all if none can. Routers differ only in which
/// of them they find usable.
fn loaded_targets<'a>(
    core: &RelayCore,
    filter: &UpstreamFilter<'_>,
    allowed: EligibleUpstreams<'a>,
    count: usize,
    now: MonotonicTime,
) -> EligibleUpstreams<'a> {
    let is_usable = |upstream: &RelayUpstream| {
        !filter.excludes(upstream)
            && blocked_for(core, upstream, now).is_none()
            && upstream.view(now).state == UpstreamState::Live
    };
    let usable = allowed
        .iter()
        .copied()
        .filter(|upstream| is_usable(upstream));
    let mut usable: EligibleUpstreams<'a> = usable.collect();
    if usable.is_empty() {
        return allowed;
    }
    usable.sort_by(|one, other| one.id().cmp(other.id()));
    usable.truncate(count);
    usable
}

/// Affinity key: requests that share a long part of their prompt and use the same model prefer the same upstream.
fn affinity(request: &RelayRequest, model: Option<&str>) -> Option<u64> {
    if !request.rule.has_affinity {
        return None;
    }
    let part = request.facts.prompt.shared_part()?;
    let model = model.or(request.facts.model.as_deref()).unwrap_or_default();
    Some(part.id ^ xxh3_64(model.as_bytes()))
}
