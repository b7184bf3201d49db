//! Service times of a version or of one upstream.

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

/// Service times seen lately.
#[derive(Debug, Clone, Default)]
pub struct ServiceHistory {
    histogram: DecayingHistogram,
}

impl ServiceHistory {
    /// Records that a request which got its place in a batch ended after `service`.
    pub fn record(&mut self, now: Duration, service: Duration) {
        self.histogram.record(now, service);
    }

    /// The estimate at `now`; `None` with too few samples.
    pub fn estimate(&self, now: Duration, config: &AdmissionConfig) -> Option<ServiceEstimate> {
        let age = self.histogram.newest_age(now)?;
        Some(ServiceEstimate {
            mean: self.histogram.mean()?,
            quantile: self.histogram.quantile(config.service_quantile)?,
            recent: age <= config.sample_life(),
        })
    }
}
