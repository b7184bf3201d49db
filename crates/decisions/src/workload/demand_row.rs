//! Demand for a service by workspace and priority, as routers report it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::{ServiceName, WorkspaceName};

/// Time after which a row no longer counts.
pub const DEMAND_LIFETIME: Duration = Duration::from_secs(2);
/// Highest number of rows that a router reports.
pub const MAX_DEMAND_ROWS: usize = 64;
/// Number of these that are kept for sums over the smallest workspaces.
const MAX_SUM_ROWS: usize = 16;
/// Highest rate of one row, in milliseconds of work per second.
const MAX_RATE: u32 = 10_000_000;
/// Lowest priority.
const MAX_PRIORITY: u8 = 9;

/// What a row is about.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DemandKey {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the workspace's name; [`Self::OTHERS`] for a sum over several workspaces.
    pub workspace: u32,
    /// Priority, 0 the most urgent.
    pub priority: u8,
}

impl DemandKey {
    /// Stands for the workspaces that a report has no rows for.
    pub const OTHERS: u32 = 0;

    /// The key of requests of `workspace` for `service`. Requests without a workspace share one key for each priority.
    pub fn new(service: &ServiceName, workspace: Option<&WorkspaceName>, priority: u8) -> Self {
        let workspace = workspace.map_or("", WorkspaceName::as_str);
        Self {
            service: service_id(service),
            workspace: (xxh3_64(workspace.as_bytes()) as u32).max(1),
            priority: priority.min(MAX_PRIORITY),
        }
    }
}

/// Number that stands for `service` in rows.
pub fn service_id(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}

/// Demand and throughput of the requests of one key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandRow {
    /// Service, workspace and priority.
    pub key: DemandKey,
    /// Work of the requests that arrived, in milliseconds per second.
    pub demand: u32,
    /// Work of the requests that were answered whole, in milliseconds per second.
    pub completed: u32,
    /// Age of the figures, in milliseconds.
    pub age_ms: u32,
}

impl DemandRow {
    /// The row with its figures within their bounds; `None` if it is too old.
    pub(super) fn bounded(mut self) -> Option<Self> {
        self.key.priority = self.key.priority.min(MAX_PRIORITY);
        self.demand = self.demand.min(MAX_RATE);
        self.completed = self.completed.min(MAX_RATE);
        (u128::from(self.age_ms) < DEMAND_LIFETIME.as_millis()).then_some(self)
    }

    /// The row when another `elapsed` has passed; `None` if it is then too old.
    pub fn aged(self, elapsed: Duration) -> Option<Self> {
        let elapsed = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        let age_ms = self.age_ms.saturating_add(elapsed);
        Self { age_ms, ..self }.bounded()
    }
}

/// The largest of `rows`, at most [`MAX_DEMAND_ROWS`]; the others are summed by service and priority.
pub fn reported_rows(mut rows: Vec<DemandRow>) -> Vec<DemandRow> {
    if rows.len() <= MAX_DEMAND_ROWS {
        return rows;
    }
    let largest_first = |rows: &mut Vec<DemandRow>| {
        rows.sort_by_key(|row| std::cmp::Reverse((row.demand.max(row.completed), row.key)));
    };
    largest_first(&mut rows);
    let rest = rows.split_off(MAX_DEMAND_ROWS - MAX_SUM_ROWS);
    let mut sums: Vec<DemandRow> = Vec::new();
    for row in rest {
        let key = DemandKey {
            workspace: DemandKey::OTHERS,
            ..row.key
        };
        match sums.iter_mut().find(|sum| sum.key == key) {
            Some(sum) => {
                sum.demand = sum.demand.saturating_add(row.demand);
                sum.completed = sum.completed.saturating_add(row.completed);
                sum.age_ms = sum.age_ms.max(row.age_ms);
            }
            None => sums.push(DemandRow { key, ..row }),
        }
    }
    largest_first(&mut sums);
    sums.truncate(MAX_SUM_ROWS);
    rows.extend(sums);
    rows
}
