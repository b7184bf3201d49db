//! Fraction of the requests of a workspace and priority that is within its fair share of a contended service.

use std::collections::HashMap;
use std::time::Duration;

use super::priority_division::{PRIORITIES, divide_by_priority};
use super::service_contention::ServiceLoad;
use super::{FairLevel, FairStanding, PriorityClass, WorkspaceDemand};
use crate::workload::DemandRow;

/// Capacity as a multiple of the throughput at full slots while nothing waits: a throughput that was measured too low grows again.
const GROWTH: f64 = 1.05;
/// Part of the demand that is admitted at least. Throughput rises only when runs end, so that it is far below the capacity while a surge after a quiet
/// time fills the slots, and at a router that heard routers of an older build only.
const MIN_ADMITTED: f64 = 0.25;
/// Lowest part of the slots that the throughput is scaled up from.
const MIN_TAKEN: f64 = 0.5;
/// Capacity as a multiple of the throughput where requests in half as many as the slots wait or more, so that the queues shrink.
const DECLINE: f64 = 0.95;
/// Waiting requests as a part of the slots from which the capacity is lowest.
const FULL_WAITING: f64 = 0.5;
/// Weight of the newest throughput in the part of this router. With four computations a second it is a mean over about 10 s: in the 2 s before a
/// router hears no other one, it hears of fewer and fewer of them.
const PART_WEIGHT: f64 = 0.025;
/// Width of the windows in which rejected requests of one priority return, at an overload of 1.
const RETRY_WINDOW: Duration = Duration::from_millis(500);
/// Highest overload that widens the windows.
const MAX_OVERLOAD: f64 = 4.0;
/// Longest time after which a rejected request is to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Class in which the demand of one priority is given to [`FairLevel`], which is computed for each priority alone.
const LEVEL_CLASS: PriorityClass = PriorityClass::Normal;

/// Figures of one service from which the shares are computed.
#[derive(Debug, Clone, Copy)]
pub struct ShareFigures<'a> {
    /// Load that the upstreams state.
    pub load: ServiceLoad,
    /// Rows of this router; those of [`DemandMeter::steady_rows`](crate::workload::DemandMeter::steady_rows) while it hears no other one.
    pub own: &'a [DemandRow],
    /// Sums over the other routers.
    pub others: &'a [DemandRow],
    /// Whether any demand of other routers is heard, for this service or another one.
    pub hears_others: bool,
    /// Number of routers that are known, with this one.
    pub routers: usize,
}

/// Why a request is beyond the share of its workspace, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareExcess {
    /// Fraction of the requests of its workspace and priority that is within the share.
    pub fraction: f64,
    /// Demand of its workspace and priority, in milliseconds of work per second.
    pub demand: f64,
    /// Work of its priority that each workspace may have, in milliseconds per second.
    pub level: f64,
    /// Capacity of the service, in milliseconds of work per second.
    pub capacity: f64,
    /// Load of the service by which it is contended.
    pub load: ServiceLoad,
    /// Highest age of a row of other routers, in milliseconds; the row of a sum has the mean age of its parts. 0 while none is heard.
    pub oldest_ms: u32,
    /// When the request is to be sent again.
    pub retry_after: Duration,
}

/// Fair shares of one service.
#[derive(Debug, Default)]
pub struct ServiceShares {
    is_contended: bool,
    /// Throughput of the whole fleet divided by the routers that were known, as last heard, smoothed.
    throughput_per_router: f64,
    /// Whether that was the throughput of a contended service, which is what it can do.
    was_contended_when_heard: bool,
    load: ServiceLoad,
    oldest_ms: u32,
    capacity: f64,
    total_demand: f64,
    levels: [f64; PRIORITIES],
    /// Number of more urgent priorities that have demand.
    more_urgent: [u32; PRIORITIES],
    /// Number of priorities that have demand.
    with_demand: u32,
    /// Demand by workspace and priority, where it is above the level.
    excess: HashMap<(u32, u8), f64>,
}

impl ServiceShares {
    /// Computes the shares again.
    pub fn update(&mut self, figures: &ShareFigures<'_>) {
        let rows = || figures.own.iter().chain(figures.others);
        self.is_contended = figures.load.is_contended(self.is_contended);
        let heard: f64 = rows().map(|row| f64::from(row.completed)).sum();
        let is_alone = !figures.hears_others && figures.routers > 1;
        let throughput = match is_alone {
            true if self.was_contended_when_heard => self.throughput_per_router,
            true => heard.max(self.throughput_per_router),
            false => heard,
        };
        if !is_alone {
            let part = heard / figures.routers.max(1) as f64;
            let weight = if self.throughput_per_router > 0.0 {
                PART_WEIGHT
            } else {
                1.0
            };
            self.throughput_per_router += weight * (part - self.throughput_per_router);
            self.was_contended_when_heard = self.is_contended;
        }
        self.excess.clear();
        self.load = figures.load;
        let ages = figures.others.iter().map(|row| row.age_ms);
        self.oldest_ms = ages.max().unwrap_or_default();
        if !self.is_contended || throughput <= 0.0 {
            return;
        }
        let total: f64 = rows().map(|row| f64::from(row.demand)).sum();
        let measured = throughput * capacity_factor(&figures.load);
        self.capacity = measured.max(total * MIN_ADMITTED);
        let mut demands: [HashMap<u32, f64>; PRIORITIES] = Default::default();
        for row in rows() {
            let of_priority = &mut demands[usize::from(row.key.priority).min(PRIORITIES - 1)];
            *of_priority.entry(row.key.workspace).or_default() += f64::from(row.demand);
        }
        let totals = std::array::from_fn(|priority| demands[priority].values().sum());
        self.total_demand = totals.iter().sum();
        let parts = divide_by_priority(self.capacity, &totals);
        let mut more_urgent = 0;
        for (priority, of_priority) in demands.iter().enumerate() {
            let list: Vec<WorkspaceDemand> = of_priority.values().map(|d| demand_of(*d)).collect();
            let level = FairLevel::compute(parts[priority], &list).0;
            self.levels[priority] = level;
            self.more_urgent[priority] = more_urgent;
            more_urgent += u32::from(totals[priority] > 0.0);
            let above = of_priority.iter().filter(|(_, demand)| **demand > level);
            let above = above.map(|(workspace, demand)| ((*workspace, priority as u8), *demand));
            self.excess.extend(above);
        }
        self.with_demand = more_urgent;
    }

    /// Whether the service is contended.
    pub fn is_contended(&self) -> bool {
        self.is_contended
    }

    /// Fraction of the requests of `workspace` and `priority` that is within its share, from 0 to 1.
    pub fn fraction(&self, workspace: u32, priority: u8) -> f64 {
        self.find(workspace, priority)
            .map_or(1.0, |(demand, level)| level.fraction(&demand, LEVEL_CLASS))
    }

    /// Checks a request of `workspace` and `priority`; `points` are uniform in `0.0..1.0`.
    ///
    /// # Errors
    ///
    /// Fails when the request is beyond the share of its workspace.
    pub fn check(&self, workspace: u32, priority: u8, points: [f64; 2]) -> Result<(), ShareExcess> {
        let Some((demand, level)) = self.find(workspace, priority) else {
            return Ok(());
        };
        match level.standing(&demand, LEVEL_CLASS, points[0]) {
            FairStanding::Within => Ok(()),
            FairStanding::Beyond => Err(ShareExcess {
                fraction: level.fraction(&demand, LEVEL_CLASS),
                demand: demand.total(),
                level: level.0,
                capacity: self.capacity,
                load: self.load,
                oldest_ms: self.oldest_ms,
                retry_after: self.retry_after(priority, points[1]),
            }),
        }
    }

    fn find(&self, workspace: u32, priority: u8) -> Option<(WorkspaceDemand, FairLevel)> {
        let demand = *self.excess.get(&(workspace, priority))?;
        let level = *self.levels.get(usize::from(priority))?;
        Some((demand_of(demand), FairLevel(level)))
    }

    /// When a rejected request of `priority` is to return: each priority in a window of its own, the more urgent first.
    fn retry_after(&self, priority: u8, point: f64) -> Duration {
        let overload = (self.total_demand / self.capacity).clamp(1.0, MAX_OVERLOAD);
        let order = self.more_urgent.get(usize::from(priority)).copied();
        let last = MAX_RETRY_AFTER / (self.with_demand + 1);
        let window = RETRY_WINDOW.mul_f64(overload).min(last);
        window.mul_f64(1.0 + f64::from(order.unwrap_or_default()) + point)
    }
}

fn demand_of(demand: f64) -> WorkspaceDemand {
    let mut offered = [0.0; PriorityClass::COUNT];
    offered[LEVEL_CLASS.index()] = demand;
    WorkspaceDemand {
        weight: 1.0,
        offered,
    }
}

/// Capacity as a multiple of the throughput: free slots add to it, waiting requests lower it.
fn capacity_factor(load: &ServiceLoad) -> f64 {
    let without_waiting = GROWTH / load.taken_part().clamp(MIN_TAKEN, 1.0);
    let part = (load.waiting_part() / FULL_WAITING).clamp(0.0, 1.0);
    without_waiting + (DECLINE - without_waiting) * part
}
