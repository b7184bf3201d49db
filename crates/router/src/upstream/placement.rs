//! Placement of a request: choice of its upstream, and admission by its deadline.

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
use super::{FlightGuard, UpstreamHost};
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;

/// When to come back if no upstream can take a request.
const UPSTREAM_PAUSE: Duration = Duration::from_secs(1);

/// Number of choices made by this process.
static TURNS: AtomicU64 = AtomicU64::new(0);

/// What a placement depends on beside the upstreams.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The request.
    pub request: &'a CallerRequest,
    /// Version that is to answer.
    pub version: &'a VersionName,
    /// Most tokens of the answer, if the request bounds them.
    pub most_steps: Option<u32>,
    /// Hash of the session or of the start of the prompt.
    pub affinity: Option<u64>,
    /// Upstreams that had the request before.
    pub tried: &'a [HostName],
    /// What the crash pool says about upstreams.
    pub rule: PlaceRule<'a>,
}

/// Upstreams that crash containment keeps a request on or away from.
#[derive(Debug, Clone, Copy)]
pub enum PlaceRule<'a> {
    /// Not on these as long as another takes requests.
    Avoid(&'a [HostName]),
    /// On this one alone.
    Only(&'a HostName),
}

/// Upstreams as one choice sees them.
type ViewList<'a> = SmallVec<[UpstreamView<'a>; 8]>;

/// Places a completion on an upstream of its version.
///
/// # Errors
///
/// A refusal when no upstream may take it, or none would answer in time.
pub fn place(core: &RouterCore, query: &PlacementQuery<'_>) -> Result<FlightGuard, CallerRefusal> {
    let hosts = candidates(core, query);
    let rank = rank_of(core, query);
    let views = views(core, &hosts, rank);
    let choice_query = ChoiceQuery {
        zone: &core.settings.zone,
        affinity: query.affinity,
        tried: query.tried,
    };
    let choice = UpstreamChoice::default();
    let chosen = choice
        .choose(&views, &choice_query, points())
        .map_err(no_upstream)?;
    let chosen = match admit(core, query, &views, chosen, rank) {
        Ok(()) => chosen,
        Err(_) => {
            let cheapest = choice.cheapest(&views, &choice_query);
            let cheapest = cheapest.map_err(no_upstream)?;
            admit(core, query, &views, cheapest, rank).map_err(late)?;
            cheapest
        }
    };
    Ok(FlightGuard::new(&hosts[chosen], core.clock, rank))
}

/// Places a call on one of `hosts`, all of which run its service.
///
/// # Errors
///
/// A refusal when none may take it.
pub fn place_call(
    core: &RouterCore,
    hosts: &UpstreamList,
    class: PriorityClass,
    tried: &[HostName],
) -> Result<FlightGuard, CallerRefusal> {
    let rank = QueueRank::new(class, FairStanding::Within);
    let views = views(core, hosts, rank);
    let query = ChoiceQuery {
        zone: &core.settings.zone,
        affinity: None,
        tried,
    };
    let chosen = UpstreamChoice::default().choose(&views, &query, points());
    let chosen = chosen.map_err(no_upstream)?;
    Ok(FlightGuard::new(&hosts[chosen], core.clock, rank))
}

/// Upstreams of the version that the query's rule leaves.
fn candidates(core: &RouterCore, query: &PlacementQuery<'_>) -> UpstreamList {
    let mut hosts = core.upstreams.serving(query.version);
    match query.rule {
        PlaceRule::Only(name) => hosts.retain(|host| host.entry.name == *name),
        PlaceRule::Avoid(names) => {
            let now = core.clock.elapsed();
            let takes = |host: &UpstreamHost| {
                let name = &host.entry.name;
                !names.contains(name) && !query.tried.contains(name) && !host.is_suspect(now)
            };
            if hosts.iter().any(|host| takes(host)) {
                hosts.retain(|host| !names.contains(&host.entry.name));
            }
        }
    }
    hosts
}

/// Rank of the request in the queue of an upstream.
fn rank_of(core: &RouterCore, query: &PlacementQuery<'_>) -> QueueRank {
    let PlacementQuery {
        request, version, ..
    } = query;
    let (now, class) = (core.clock.elapsed(), request.class);
    let standing = core.intake.with_version(version, |pool| {
        if query.tried.is_empty() {
            pool.offer(now, &request.workspace, class);
        }
        pool.standing(now, &request.workspace, class, rand::random())
    });
    QueueRank::new(class, standing)
}

/// Views of `hosts`; suspect ones count as live when there are no others.
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

fn points() -> ChoicePoints {
    ChoicePoints {
        first: rand::random(),
        second: rand::random(),
        turn: TURNS.fetch_add(1, Ordering::Relaxed),
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
    let service = core.intake.with_version(query.version, |pool| {
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

fn no_upstream(problem: NoUpstream) -> CallerRefusal {
    CallerRefusal::come_back(RefusalKind::NoUpstream, problem.to_string(), UPSTREAM_PAUSE)
}

fn late(refusal: AdmissionRefusal) -> CallerRefusal {
    CallerRefusal::come_back(
        RefusalKind::DeadlineTooNear,
        refusal.to_string(),
        refusal.retry_after,
    )
}
