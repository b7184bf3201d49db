//! Max-min fair parts of a capacity among workspaces.

use smallvec::SmallVec;

use super::PriorityClass;

/// Offered work per second by priority, lowest first.
pub type ClassRates = [f64; PriorityClass::COUNT];

/// Demand of one workspace, as all routers together see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceDemand {
    /// Weight of the workspace; positive.
    pub weight: f64,
    /// Offered work per second, before any refusal.
    pub offered: ClassRates,
}

impl WorkspaceDemand {
    /// Offered work per second of all classes.
    pub fn total(&self) -> f64 {
        self.offered.iter().sum()
    }
}

closed_set! {
    /// Whether a request belongs to the fair part of its workspace.
    #[derive(Default)]
    pub enum FairStanding {
        /// Within the fair part.
        #[default]
        Within,
        /// Beyond it: goes ahead only while there is room.
        Beyond,
    }
}

/// Work per second and unit of weight that every workspace may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairLevel(pub f64);

impl FairLevel {
    /// The level at which the parts of all `demands` fill `capacity`, infinite when all fit.
    pub fn compute(capacity: f64, demands: &[WorkspaceDemand]) -> Self {
        let mut order: SmallVec<[WorkspaceDemand; 16]> = demands.iter().copied().collect();
        order.sort_by(|a, b| f64::total_cmp(&per_weight(a), &per_weight(b)));
        let mut weights: f64 = order.iter().map(|d| d.weight).sum();
        let mut rest = capacity;
        for demand in &order {
            if per_weight(demand) * weights > rest {
                return Self(rest.max(0.0) / weights);
            }
            rest -= demand.total();
            weights -= demand.weight;
        }
        Self(f64::INFINITY)
    }

    /// Part of the requests of `class` that are within the fair part of `demand`, from 0 to 1.
    ///
    /// A workspace's higher priorities fill its part first.
    pub fn fraction(self, demand: &WorkspaceDemand, class: PriorityClass) -> f64 {
        let higher: f64 = demand.offered[class.index() + 1..].iter().sum();
        let left = self.0 * demand.weight - higher;
        let offered = demand.offered[class.index()];
        if offered <= left {
            1.0
        } else {
            left.max(0.0) / offered
        }
    }

    /// Standing of one request; `point` is uniform in `0.0..1.0`.
    pub fn standing(
        self,
        demand: &WorkspaceDemand,
        class: PriorityClass,
        point: f64,
    ) -> FairStanding {
        if point < self.fraction(demand, class) {
            FairStanding::Within
        } else {
            FairStanding::Beyond
        }
    }
}

fn per_weight(demand: &WorkspaceDemand) -> f64 {
    demand.total() / demand.weight
}
