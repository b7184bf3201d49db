//! Demand for one version and the service times of its answers.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::admission::{
    AdmissionConfig, FairLevel, FairStanding, PriorityClass, ServiceEstimate, ServiceHistory,
    ServiceQuery, WorkspaceDemand,
};
use ferry_decisions::limits::{OfferedCount, PooledDemand};
use ferry_decisions::names::WorkspaceName;

/// Time constant of the demand that fair parts follow from.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Demand of one workspace by class, lowest first.
type ClassDemands = [PooledDemand; PriorityClass::COUNT];

/// State that this router keeps for one version.
#[derive(Debug)]
pub struct VersionPool {
    /// Steps that recent answers took.
    history: ServiceHistory,
    /// Demand by workspace, over all routers.
    demands: HashMap<WorkspaceName, ClassDemands>,
    /// Work per second that every workspace may have.
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
    /// Counts one request that this router is offered.
    pub fn offer(&mut self, now: Duration, workspace: &WorkspaceName, class: PriorityClass) {
        self.demand_mut(workspace)[class.index()].offer(now);
    }

    /// Takes over a peer's count.
    pub fn merge(
        &mut self,
        now: Duration,
        workspace: &WorkspaceName,
        class: PriorityClass,
        count: OfferedCount,
    ) {
        self.demand_mut(workspace)[class.index()].merge(now, count);
    }

    /// Learns from an answer that took `steps` engine steps.
    pub fn learn(&mut self, now: Duration, class: PriorityClass, steps: u32) {
        self.history.record(now, class, steps);
    }

    /// Service time of a request; `None` with too few answers.
    pub fn estimate(
        &self,
        now: Duration,
        config: &AdmissionConfig,
        query: &ServiceQuery,
    ) -> Option<ServiceEstimate> {
        self.history.estimate(now, config, query)
    }

    /// Whether a request is within the fair part of `workspace`; `point` is uniform in `0.0..1.0`.
    pub fn standing(
        &self,
        now: Duration,
        workspace: &WorkspaceName,
        class: PriorityClass,
        point: f64,
    ) -> FairStanding {
        match self.demands.get(workspace) {
            Some(demands) => {
                let demand = self.work_of(now, demands);
                self.level.standing(&demand, class, point)
            }
            None => FairStanding::Within,
        }
    }

    /// Shares out `capacity`, in engine steps per second, among the workspaces.
    pub fn share_out(&mut self, now: Duration, capacity: f64) {
        let demands = self.demands.values();
        let demands: Vec<_> = demands.map(|demands| self.work_of(now, demands)).collect();
        self.level = FairLevel::compute(capacity, &demands);
    }

    /// Requests that this router was offered since its start.
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

    /// Offered engine steps per second.
    fn work_of(&self, now: Duration, demands: &ClassDemands) -> WorkspaceDemand {
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
