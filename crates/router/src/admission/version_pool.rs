//! Demand for one version, and the engine steps of its answers.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::admission::{
    AdmissionConfig, FairLevel, FairStanding, PriorityClass, ServiceEstimate, ServiceHistory,
    ServiceQuery, WorkspaceDemand,
};
use ferry_decisions::limits::{OfferedCount, PooledDemand};
use ferry_decisions::names::WorkspaceName;

/// Time constant of the demand that fair shares are computed from.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Demand of one workspace by priority class, lowest first.
type ClassDemands = [PooledDemand; PriorityClass::COUNT];

/// Admission state of one version.
#[derive(Debug)]
pub struct VersionPool {
    /// Engine steps of recent answers.
    history: ServiceHistory,
    /// Demand by workspace, over all routers.
    demands: HashMap<WorkspaceName, ClassDemands>,
    /// Engine steps per second up to which a workspace is within its fair share.
    level: FairLevel,
}

impl Default for VersionPool {
    fn default() -> Self {
        Self {
            history: ServiceHistory::default(),
            demands: HashMap::new(),
            level: FairLevel(f64::INFINITY),
        }
    }
}

impl VersionPool {
    /// Counts a request offered to this router.
    pub fn record_offered(
        &mut self,
        now: Duration,
        workspace: &WorkspaceName,
        class: PriorityClass,
    ) {
        self.demand_mut(workspace)[class.index()].offer(now);
    }

    /// Merges a peer's count of offered requests.
    pub fn merge(
        &mut self,
        now: Duration,
        workspace: &WorkspaceName,
        class: PriorityClass,
        count: OfferedCount,
    ) {
        self.demand_mut(workspace)[class.index()].merge(now, count);
    }

    /// Records the engine steps of an answer for later estimates.
    pub fn record_steps(&mut self, now: Duration, class: PriorityClass, steps: u32) {
        self.history.record(now, class, steps);
    }

    /// Estimates the service time of a request; `None` when too few answers were recorded.
    pub fn estimate(
        &self,
        now: Duration,
        config: &AdmissionConfig,
        query: &ServiceQuery,
    ) -> Option<ServiceEstimate> {
        self.history.estimate(now, config, query)
    }

    /// Whether a request is within the fair share of `workspace`; `point` is a uniform random number
    /// in `0.0..1.0`.
    pub fn standing(
        &self,
        now: Duration,
        workspace: &WorkspaceName,
        class: PriorityClass,
        point: f64,
    ) -> FairStanding {
        match self.demands.get(workspace) {
            Some(demands) => {
                let demand = self.offered_work(now, demands);
                self.level.standing(&demand, class, point)
            }
            None => FairStanding::Within,
        }
    }

    /// Divides `capacity`, in engine steps per second, among the workspaces.
    pub fn divide_capacity(&mut self, now: Duration, capacity: f64) {
        let demands = self.demands.values();
        let demands: Vec<_> = demands
            .map(|demands| self.offered_work(now, demands))
            .collect();
        self.level = FairLevel::compute(capacity, &demands);
    }

    /// Requests offered to this router since its start, by workspace and class.
    pub fn own_totals(&self) -> impl Iterator<Item = (&WorkspaceName, PriorityClass, u64)> {
        self.demands.iter().flat_map(|(workspace, demands)| {
            let classes = PriorityClass::ALL.into_iter();
            classes.map(move |class| (workspace, class, demands[class.index()].own_total()))
        })
    }

    fn demand_mut(&mut self, workspace: &WorkspaceName) -> &mut ClassDemands {
        self.demands
            .entry(workspace.clone())
            .or_insert_with(|| PriorityClass::ALL.map(|_| PooledDemand::new(DEMAND_WINDOW)))
    }

    /// Engine steps per second that `demands` offer, by class.
    fn offered_work(&self, now: Duration, demands: &ClassDemands) -> WorkspaceDemand {
        let offered = PriorityClass::ALL.map(|class| {
            let rate = demands[class.index()].rate(now);
            rate * self.history.mean_steps(class).unwrap_or(0.0)
        });
        WorkspaceDemand {
            weight: 1.0,
            offered,
        }
    }
}
