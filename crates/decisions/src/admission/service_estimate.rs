//! Service time of a version: the number of steps that its answers take, times the current step
//! duration.
//!
//! Since steps are counted rather than time, one history is valid for all upstreams of the version,
//! and an upstream that becomes slow raises the estimate before any slow answer has ended.

use std::time::Duration;

use super::{AdmissionConfig, DecayingHistogram, PriorityClass};
use crate::time::nearest_span;

/// Time that a request needs once it runs in a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceEstimate {
    /// Mean time over all classes, which determines how fast slots of the batch become free.
    pub mean: Duration,
    /// The configured quantile for the class of the request.
    pub quantile: Duration,
    /// Whether the newest sample is recent enough to refuse requests without probing.
    pub recent: bool,
}

/// Inputs of an estimate besides the history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceQuery {
    /// Class of the request.
    pub class: PriorityClass,
    /// Duration of an engine step of the upstream, in milliseconds.
    pub step_ms: f64,
    /// Maximum number of steps that the request permits; absent when it sets no limit.
    pub most_steps: Option<u32>,
}

/// Number of steps that recent answers of a version took.
#[derive(Debug, Clone, Default)]
pub struct ServiceHistory {
    all: DecayingHistogram,
    /// Histograms by priority, lowest first.
    by_class: [DecayingHistogram; PriorityClass::COUNT],
}

impl ServiceHistory {
    /// Records an answer that took `steps` engine steps.
    pub fn record(&mut self, now: Duration, class: PriorityClass, steps: u32) {
        self.all.record(now, f64::from(steps));
        self.by_class[class.index()].record(now, f64::from(steps));
    }

    /// Mean steps of an answer to `class`, or to any class if `class` has too few samples; `None`
    /// with too few samples altogether.
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
        let duration = |steps: f64| nearest_span(steps * query.step_ms / 1_000.0);
        Some(ServiceEstimate {
            mean: duration(self.all.mean()?),
            quantile: duration(quantile.min(bound)),
            recent: age <= config.sample_life(),
        })
    }
}
