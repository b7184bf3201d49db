//! Max-min fair division of a capacity among workspaces.

use smallvec::SmallVec;

use super::PriorityClass;

/// Offered work per second by priority, lowest first.
pub type ClassRates = [f64; PriorityClass::COUNT];

/// Demand of one workspace over all routers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceDemand {
    /// Relative weight of the workspace; positive.
    pub weight: f64,
    /// Offered work per second by priority, counted before refusals.
    pub offered: ClassRates,
}

impl WorkspaceDemand {
    /// Offered work per second, summed over all classes.
    pub fn total(&self) -> f64 {
        self.offered.iter().sum()
    }
}

closed_set! {
    /// Whether a request is within the fair share of its workspace.
    #[derive(Default)]
    pub enum FairStanding {
        /// Within the fair share.
        #[default]
        Within,
        /// Beyond the fair share: admitted only while there is spare capacity.
        Beyond,
    }
}

/// Work per second that every workspace may have for each unit of its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairLevel(pub f64);

impl FairLevel {
    /// The level at which the shares of all `demands` add up to `capacity`; infinite when all
    /// demands fit.
    pub fn compute(capacity: f64, demands: &[WorkspaceDemand]) -> Self {
        let mut order: SmallVec<[WorkspaceDemand; 16]> = demands.iter().copied().collect();
        order.sort_by(|a, b| f64::total_cmp(&per_weight(a), &per_weight(b)));
        let mut weights: f64 = order.iter().map(|d| d.weight).sum();
        let mut remaining = capacity;
        for demand in &order {
            if per_weight(demand) * weights > remaining {
                return Self(remaining.max(0.0) / weights);
            }
            remaining -= demand.total();
            weights -= demand.weight;
        }
        Self(f64::INFINITY)
    }

    /// Fraction of the requests of `class` that are within the fair share of `demand`, from 0 to 1.
    ///
    /// Higher priorities of a workspace use its share first.
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

    /// Whether one request is within the fair share; `point` is uniform in `0.0..1.0`.
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
