//! Updates of the simulated routers at each tick: load reports and the counts of their peers.

use std::time::Duration;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::choice::RankCounts;
use ferry_decisions::limits::OfferedCount;
use ferry_decisions::names::Incarnation;
use uuid::Uuid;

use super::router_state::RouterState;
use super::virtual_engine::VirtualEngine;

/// Lets all routers read the visible load reports and the step durations of their own streams.
pub(super) fn read_reports(
    now: Duration,
    engines: &mut [VirtualEngine],
    routers: &mut [RouterState],
) {
    for (index, engine) in engines.iter_mut().enumerate() {
        let visible = engine.visible_report(now);
        let step_ms = engine.last_step().as_secs_f64() * 1_000.0;
        for router in routers.iter_mut() {
            let known = &mut router.engines[index];
            known.report = visible;
            known.observed_step_ms = (known.own.current() > 0).then_some(step_ms);
        }
    }
}

/// Exchanges the counts of requests in flight between all routers.
pub(super) fn exchange_in_flight(now: Duration, routers: &mut [RouterState]) {
    let engines = routers.first().map_or(0, |router| router.engines.len());
    for engine in 0..engines {
        let mut total = RankCounts::default();
        for router in routers.iter() {
            let own = router.engines[engine].own.by_rank();
            total.iter_mut().zip(own).for_each(|(t, o)| *t += o);
        }
        for router in routers.iter_mut() {
            let known = &mut router.engines[engine];
            let mut others = total;
            let own = known.own.by_rank();
            others.iter_mut().zip(own).for_each(|(t, o)| *t -= o);
            known.peers.set(now, others);
        }
    }
}

/// Exchanges the offered counts between all routers and recomputes their fair levels.
pub(super) fn exchange_demand(now: Duration, routers: &mut [RouterState], workspaces: usize) {
    for workspace in 0..workspaces {
        for class in PriorityClass::ALL {
            exchange_counts(now, routers, workspace, class);
        }
    }
    for router in routers {
        router.update_fair_level(now);
    }
}

fn exchange_counts(
    now: Duration,
    routers: &mut [RouterState],
    workspace: usize,
    class: PriorityClass,
) {
    let total = |router: &RouterState| router.offered_total(workspace, class);
    let totals: Vec<u64> = routers.iter().map(total).collect();
    for (index, router) in routers.iter_mut().enumerate() {
        for (peer, total) in totals.iter().enumerate().filter(|(p, _)| *p != index) {
            let count = OfferedCount {
                router: Incarnation(Uuid::from_u128(peer as u128)),
                total: *total,
            };
            router.merge(now, workspace, class, count);
        }
    }
}
