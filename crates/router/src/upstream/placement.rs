//! Placement of requests: choice of an upstream, and admission by deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ferry_decisions::admission::{
    AdmissionQuery, AdmissionRefusal, DeadlineAdmission, FairStanding, PriorityClass, QueueRank,
    ServiceQuery, higher_rank_share,
};
use ferry_decisions::choice::{
    ChoicePoints, ChoiceQuery, NoUpstream, UpstreamChoice, UpstreamState, UpstreamView,
};
use ferry_decisions::names::{HostName, VersionName};
use smallvec::SmallVec;

use super::upstream_table::UpstreamList;
use super::{InFlightGuard, UpstreamHost};
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;

/// `Retry-After` when no upstream can take a request.
const UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of choices made by this process; the turn counter of the round-robin policy.
static CHOICE_COUNT: AtomicU64 = AtomicU64::new(0);

/// Inputs of a placement, except the state of the upstreams.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// Request to place.
    pub request: &'a CallerRequest,
    /// Version to run it on.
    pub version: &'a VersionName,
    /// Maximum number of tokens of the answer; `None` if the request sets none.
    pub most_steps: Option<u32>,
    /// Hash of the session id or the prompt prefix; `None` without affinity.
    pub affinity: Option<u64>,
    /// Upstreams that the request was already sent to.
    pub tried: &'a [HostName],
    /// Restriction set by crash containment.
    pub rule: PlacementRule<'a>,
}

/// Restriction of a placement by crash containment.
#[derive(Debug, Clone, Copy)]
pub enum PlacementRule<'a> {
    /// Not on these upstreams as long as another one is available.
    Avoid(&'a [HostName]),
    /// Only on this upstream.
    Only(&'a HostName),
}

/// State of the candidates at the time of a choice.
type ViewList<'a> = SmallVec<[UpstreamView<'a>; 8]>;

/// Places a completion on an upstream of its version.
///
/// If admission refuses the chosen upstream, the one with the lowest cost is tried before the request is
/// refused.
///
/// # Errors
///
/// Returns a refusal when no upstream is available, or none would answer before the deadline.
pub fn place(
    core: &RouterCore,
    query: &PlacementQuery<'_>,
) -> Result<InFlightGuard, CallerRefusal> {
    let hosts = candidates(core, query);
    let rank = queue_rank(core, query);
    let views = views(core, &hosts, rank);
    let choice_query = ChoiceQuery {
        zone: &core.settings.zone,
        affinity: query.affinity,
        tried: query.tried,
    };
    let choice = UpstreamChoice::default();
    let chosen = choice
        .choose(&views, &choice_query, random_points())
        .map_err(no_upstream_refusal)?;
    let chosen = match admit(core, query, &views, chosen, rank) {
        Ok(()) => chosen,
        Err(_) => {
            let cheapest = choice.cheapest(&views, &choice_query);
            let cheapest = cheapest.map_err(no_upstream_refusal)?;
            admit(core, query, &views, cheapest, rank).map_err(deadline_refusal)?;
            cheapest
        }
    };
    Ok(InFlightGuard::new(&hosts[chosen], core.clock, rank))
}

/// Places a call on one of `hosts`, all of which run its service.
///
/// # Errors
///
/// Returns a refusal when none is available.
pub fn place_service_call(
    core: &RouterCore,
    hosts: &UpstreamList,
    class: PriorityClass,
    tried: &[HostName],
) -> Result<InFlightGuard, CallerRefusal> {
    let rank = QueueRank::new(class, FairStanding::Within);
    let views = views(core, hosts, rank);
    let query = ChoiceQuery {
        zone: &core.settings.zone,
        affinity: None,
        tried,
    };
    let chosen = UpstreamChoice::default().choose(&views, &query, random_points());
    let chosen = chosen.map_err(no_upstream_refusal)?;
    Ok(InFlightGuard::new(&hosts[chosen], core.clock, rank))
}

/// Upstreams of the version that the rule of `query` allows.
fn candidates(core: &RouterCore, query: &PlacementQuery<'_>) -> UpstreamList {
    let mut hosts = core.upstreams.serving(query.version);
    match query.rule {
        PlacementRule::Only(name) => hosts.retain(|host| host.entry.name == *name),
        PlacementRule::Avoid(names) => {
            let now = core.clock.elapsed();
            let is_available = |host: &UpstreamHost| {
                let name = &host.entry.name;
                !names.contains(name) && !query.tried.contains(name) && !host.is_suspect(now)
            };
            if hosts.iter().any(|host| is_available(host)) {
                hosts.retain(|host| !names.contains(&host.entry.name));
            }
        }
    }
    hosts
}

/// Rank of the request in the queue of an upstream. The first placement also counts the request as
/// demand.
fn queue_rank(core: &RouterCore, query: &PlacementQuery<'_>) -> QueueRank {
    let PlacementQuery {
        request, version, ..
    } = query;
    let (now, class) = (core.clock.elapsed(), request.class);
    let standing = core.admission.with_version(version, |pool| {
        if query.tried.is_empty() {
            pool.record_offered(now, &request.workspace, class);
        }
        pool.standing(now, &request.workspace, class, rand::random())
    });
    QueueRank::new(class, standing)
}

/// State of `hosts`; suspect hosts are reported as live when no host is live.
fn views<'a>(core: &RouterCore, hosts: &'a [Arc<UpstreamHost>], rank: QueueRank) -> ViewList<'a> {
    let now = core.clock.elapsed();
    let mut views: ViewList<'a> = hosts.iter().map(|host| host.view(now, rank)).collect();
    let any_live = views.iter().any(|view| view.state == UpstreamState::Live);
    if !any_live {
        let suspects = views.iter_mut();
        suspects
            .filter(|view| view.state == UpstreamState::Suspect)
            .for_each(|view| view.state = UpstreamState::Live);
    }
    views
}

fn random_points() -> ChoicePoints {
    ChoicePoints {
        first: rand::random(),
        second: rand::random(),
        turn: CHOICE_COUNT.fetch_add(1, Ordering::Relaxed),
    }
}

fn admit(
    core: &RouterCore,
    query: &PlacementQuery<'_>,
    views: &[UpstreamView<'_>],
    chosen: usize,
    rank: QueueRank,
) -> Result<(), AdmissionRefusal> {
    let load = views[chosen].load;
    let class = query.request.class;
    let admission = DeadlineAdmission::default();
    let service_query = ServiceQuery {
        class,
        step_ms: load.step_ms(),
        most_steps: query.most_steps,
    };
    let now = core.clock.elapsed();
    let service = core.admission.with_version(query.version, |pool| {
        pool.estimate(now, &admission.config, &service_query)
    });
    let within = QueueRank::new(class, FairStanding::Within);
    let admission_query = AdmissionQuery {
        time_left: Some(query.request.time_left()),
        class,
        standing: if rank == within {
            FairStanding::Within
        } else {
            FairStanding::Beyond
        },
        load,
        higher_rank_share: higher_rank_share(views),
        service,
        point: rand::random(),
    };
    admission.decide(&admission_query).map(|_| ())
}

fn no_upstream_refusal(problem: NoUpstream) -> CallerRefusal {
    CallerRefusal::retry_after(
        RefusalKind::NoUpstream,
        problem.to_string(),
        UPSTREAM_RETRY_AFTER,
    )
}

fn deadline_refusal(refusal: AdmissionRefusal) -> CallerRefusal {
    CallerRefusal::retry_after(
        RefusalKind::DeadlineTooNear,
        refusal.to_string(),
        refusal.retry_after,
    )
}
