//! Service times of a version: the steps that its answers take, times the present step duration.
//!
//! Counting steps rather than time lets one history serve all upstreams of the version, and an
//! upstream that turns slow changes the estimate before any slow answer has ended.

use std::time::Duration;

use super::{AdmissionConfig, DecayingHistogram, PriorityClass};

/// Time that a request needs once it has a place in a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceEstimate {
    /// Mean time over all classes: how fast places of the batch free up.
    pub mean: Duration,
    /// The configured quantile for the class of the request.
    pub quantile: Duration,
    /// Whether the samples are recent.
    pub recent: bool,
}

/// What an estimate depends on beside the history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceQuery {
    /// Class of the request.
    pub class: PriorityClass,
    /// Duration of a step of the upstream, in milliseconds.
    pub step_ms: f64,
    /// Most steps that the request itself permits.
    pub most_steps: Option<u32>,
}

/// Steps that recent answers of a version took.
#[derive(Debug, Clone, Default)]
pub struct ServiceHistory {
    all: DecayingHistogram,
    /// By priority, lowest first.
    by_class: [DecayingHistogram; PriorityClass::COUNT],
}

impl ServiceHistory {
    /// Records an answer that took `steps` engine steps.
    pub fn record(&mut self, now: Duration, class: PriorityClass, steps: u32) {
        self.all.record(now, f64::from(steps));
        self.by_class[class.index()].record(now, f64::from(steps));
    }

    /// Mean steps of an answer to `class`, else to any class; `None` with too few samples.
    pub fn mean_steps(&self, class: PriorityClass) -> Option<f64> {
        let own = self.by_class[class.index()].mean();
        own.or_else(|| self.all.mean())
    }

    /// The estimate at `now`; `None` with too few samples.
    pub fn estimate(
        &self,
        now: Duration,
        config: &AdmissionConfig,
        query: &ServiceQuery,
    ) -> Option<ServiceEstimate> {
        let quantile_of = |steps: &DecayingHistogram| steps.quantile(config.service_quantile);
        let own = &self.by_class[query.class.index()];
        let quantile = quantile_of(own).or_else(|| quantile_of(&self.all))?;
        let bound = query.most_steps.map_or(f64::INFINITY, f64::from);
        let age = own.newest_age(now).or_else(|| self.all.newest_age(now))?;
        let duration = |steps: f64| Duration::from_secs_f64(steps * query.step_ms / 1_000.0);
        Some(ServiceEstimate {
            mean: duration(self.all.mean()?),
            quantile: duration(quantile.min(bound)),
            recent: age <= config.sample_life(),
        })
    }
}
