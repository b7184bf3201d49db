//! Service times of a version: the steps that its answers take, times the present step duration.
//!
//! Counting steps rather than time lets one history serve all upstreams of the version, and an
//! upstream that turns slow changes the estimate before any slow answer has ended.

use std::time::Duration;

use super::{AdmissionConfig, DecayingHistogram};

/// Time that a request needs once it has a place in a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceEstimate {
    /// Mean time.
    pub mean: Duration,
    /// The configured quantile.
    pub quantile: Duration,
    /// Whether the samples are recent.
    pub recent: bool,
}

/// Steps that recent answers of a version took.
#[derive(Debug, Clone, Default)]
pub struct ServiceHistory {
    steps: DecayingHistogram,
}

impl ServiceHistory {
    /// Records an answer that took `steps` engine steps.
    pub fn record(&mut self, now: Duration, steps: u32) {
        self.steps.record(now, f64::from(steps));
    }

    /// Mean steps of an answer; `None` with too few samples.
    pub fn mean_steps(&self) -> Option<f64> {
        self.steps.mean()
    }

    /// The estimate at `now` for an upstream whose steps take `step_ms`; `None` with too few samples.
    ///
    /// `most_steps` is the bound that the request itself sets.
    pub fn estimate(
        &self,
        now: Duration,
        config: &AdmissionConfig,
        step_ms: f64,
        most_steps: Option<u32>,
    ) -> Option<ServiceEstimate> {
        let age = self.steps.newest_age(now)?;
        let quantile = self.steps.quantile(config.service_quantile)?;
        let bound = most_steps.map_or(f64::INFINITY, f64::from);
        let duration = |steps: f64| Duration::from_secs_f64(steps * step_ms / 1_000.0);
        Some(ServiceEstimate {
            mean: duration(self.steps.mean()?),
            quantile: duration(quantile.min(bound)),
            recent: age <= config.sample_life(),
        })
    }
}
