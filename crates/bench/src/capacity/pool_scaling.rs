//! Cost of counters that are pooled over routers: one round of merges, by number of routers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use ferry_decisions::guard::{
    CandidateDelta, GuardCounts, GuardDelta, GuardPolicy, GuardPool, GuardRow, RouterId,
};
use ferry_decisions::limits::{OfferedCount, PooledDemand};
use ferry_decisions::names::{Incarnation, WorkspaceName};

use super::memory_growth::resident_growth;
use crate::report::ReportTable;

/// Numbers of routers at which the cost is measured.
const SIZES: [usize; 4] = [8, 50, 150, 330];
/// Number of workspaces of the deployment.
const WORKSPACES: usize = 10;
/// Number of copies whose memory is measured.
const COPIES: usize = 500;
/// Number of rounds that are timed.
const ROUNDS: u64 = 20;
/// Time constant of the demand estimate.
const WINDOW: Duration = Duration::from_secs(1);
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Measures merges of the demand of one workspace.
pub(super) fn measure_demand() -> ReportTable {
    let columns = ["round us", "us/router", "bytes/router"];
    let mut table = ReportTable::new("Demand of one workspace", &columns);
    for size in SIZES {
        let routers: Vec<Incarnation> = (0..size).map(|_| Incarnation::random()).collect();
        let started = Instant::now();
        let mut demand = PooledDemand::new(WINDOW);
        for round in 1..=ROUNDS {
            for router in &routers {
                let count = OfferedCount {
                    router: *router,
                    total: round,
                };
                demand.merge(Duration::from_millis(round), count);
            }
        }
        let micros = started.elapsed().as_secs_f64() * MICROS_PER_SECOND / ROUNDS as f64;
        let bytes = resident_growth(|| (0..COPIES).map(|_| demand.clone()).collect::<Vec<_>>());
        let each = bytes / COPIES as f64 / size as f64;
        table.push(
            &format!("{size} routers"),
            &[micros, micros / size as f64, each],
        );
    }
    table
}

/// Measures merges of the guard evidence on one version in a roll-out.
pub(super) fn measure_guard() -> ReportTable {
    let columns = ["round us", "us/row", "JSON bytes/row"];
    let mut table = ReportTable::new("Evidence on one candidate, ten workspaces", &columns);
    for size in SIZES {
        let routers: Vec<RouterId> = (0..size).map(router_id).collect();
        let mut pool = GuardPool::new(router_id(size), GuardPolicy::default());
        let started = Instant::now();
        for round in 1..=ROUNDS {
            for router in &routers {
                pool.merge(&delta(router, round));
            }
        }
        let micros = started.elapsed().as_secs_f64() * MICROS_PER_SECOND / ROUNDS as f64;
        let row = serde_json::to_vec(&delta(&routers[0], ROUNDS)).unwrap_or_default();
        let rows = size as f64;
        let figures = [micros, micros / rows, row.len() as f64];
        table.push(&format!("{size} routers"), &figures);
    }
    table
}

fn router_id(index: usize) -> RouterId {
    RouterId {
        host: format!("router-{index}").as_str().into(),
        incarnation: Incarnation::random(),
    }
}

/// Message of `router` after it served `served` requests of each workspace, all good.
fn delta(router: &RouterId, served: u64) -> GuardDelta {
    let counts = GuardCounts {
        served,
        good: served,
        ..GuardCounts::default()
    };
    let workspace = |index| WorkspaceName::new(&format!("workspace-{index}"));
    let cells: BTreeMap<_, _> = (0..WORKSPACES).map(|i| (workspace(i), counts)).collect();
    let row = GuardRow {
        router: router.clone(),
        yielded: BTreeSet::new(),
        closed: false,
        cells,
    };
    GuardDelta {
        candidates: vec![CandidateDelta {
            version: "small-2".into(),
            epoch: 1,
            rows: vec![row],
            trip: None,
        }],
    }
}
