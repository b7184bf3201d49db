//! Time that runs of a service take now, as a multiple of the expected time.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time in which the weight of a run halves: contention of a service changes within seconds.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight of the expected time itself, as a number of runs.
const PRIOR_WEIGHT: f64 = 3.0;
/// A ratio outside of these bounds says more about the estimate than about the service's load.
const RATIO_BOUNDS: (f64, f64) = (0.25, 20.0);

/// Decayed mean of the ratio of observed to expected time.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServicePace {
    sum: f64,
    weight: f64,
    decayed_to: MonotonicTime,
}

impl ServicePace {
    /// Records a complete run that took `took` where `expected` was expected on an idle upstream.
    pub fn record(&mut self, took: Duration, expected: Duration, now: MonotonicTime) {
        if expected.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let factor = self.decay(now);
        self.sum = self.sum * factor + ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.weight = self.weight * factor + 1.0;
        self.decayed_to = now;
    }

    /// Factor by which expected times are multiplied now; at least 1.
    pub fn factor(&self, now: MonotonicTime) -> f64 {
        let factor = self.decay(now);
        let (sum, weight) = (self.sum * factor, self.weight * factor);
        ((sum + PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)).max(1.0)
    }

    fn decay(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.decayed_to);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
