//! The decision whether a request can still be answered in time.

use std::time::Duration;

use super::{AdmissionConfig, FairStanding, PriorityClass, ServiceEstimate};
use crate::choice::{UpstreamLoad, UpstreamView};

/// Random part that is added to a Retry-After time, so that callers do not return together.
const RETRY_SPREAD: f64 = 0.25;
/// Least part of a batch that is assumed to be left by work of higher rank.
const LEAST_PART_LEFT: f64 = 0.02;
/// Shortest Retry-After time.
const SHORTEST_RETRY: Duration = Duration::from_millis(200);

/// Facts about one request and the upstream that it would run on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionQuery {
    /// Time to the deadline; absent when the request has none.
    pub time_left: Option<Duration>,
    /// Priority of the request.
    pub class: PriorityClass,
    /// Whether the request is within its workspace's fair part.
    pub standing: FairStanding,
    /// Load of the upstream.
    pub load: UpstreamLoad,
    /// Part of the version's batches that work of higher rank takes, from 0 to 1.
    pub higher_part: f64,
    /// Service times of the version; absent when too few were seen.
    pub service: Option<ServiceEstimate>,
    /// Spreads retries and draws probes; uniform in `0.0..1.0`.
    pub point: f64,
}

/// When a request is expected to end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FinishEstimate {
    /// Time in the upstream's queue.
    pub wait: Duration,
    /// Time in the batch.
    pub service: Duration,
}

closed_set! {
    /// Why a request is not admitted.
    pub enum RefusalReason {
        /// The time left is shorter than the service alone.
        DeadlineTooNear,
        /// The queue is too long for the time left.
        QueueTooLong,
        /// The workspace is beyond its fair part, and there is no room left.
        BeyondFairPart,
    }
}

/// A refusal, to be sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request cannot be answered in time; send it again after {retry_after:?}")]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which the request is likely to be admitted.
    pub retry_after: Duration,
    /// The estimate that led to the refusal.
    pub estimate: FinishEstimate,
}

/// Part of the batches of `views` that work of higher rank takes, from 0 to 1.
///
/// The mean over all upstreams: new work of higher rank is spread over all of them.
pub fn higher_part(views: &[UpstreamView<'_>]) -> f64 {
    let total: f64 = views.iter().map(|view| view.load.higher_part()).sum();
    total / views.len().max(1) as f64
}

/// Decides by deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DeadlineAdmission {
    /// Constants.
    pub config: AdmissionConfig,
}

impl DeadlineAdmission {
    /// Admits the request with the estimate of its end, or refuses it.
    ///
    /// # Errors
    ///
    /// Fails when the request would probably not be answered in time.
    pub fn decide(&self, query: &AdmissionQuery) -> Result<FinishEstimate, AdmissionRefusal> {
        let Some(service) = query.service else {
            return Ok(FinishEstimate::default());
        };
        let estimate = FinishEstimate {
            wait: expected_wait(query, service.mean),
            service: service.quantile,
        };
        let permitted = match query.time_left {
            None => self.config.undated_wait(),
            Some(time) if time >= estimate.service => time - estimate.service,
            Some(_) if self.probes(&service, query.point) => return Ok(estimate),
            Some(_) => return Err(self.too_near(query, estimate)),
        };
        let class_wait = permitted.mul_f64(self.config.wait_part(query.class));
        let permitted = match query.standing {
            FairStanding::Within => class_wait,
            FairStanding::Beyond => class_wait.mul_f64(self.config.beyond_fair_wait),
        };
        if estimate.wait <= permitted {
            return Ok(estimate);
        }
        let reason = match query.standing {
            FairStanding::Beyond if estimate.wait <= class_wait => RefusalReason::BeyondFairPart,
            _ => RefusalReason::QueueTooLong,
        };
        Err(AdmissionRefusal {
            reason,
            retry_after: spread(estimate.wait - permitted, query.point),
            estimate,
        })
    }

    /// Whether the request goes ahead to find out if a slow upstream has recovered.
    fn probes(&self, service: &ServiceEstimate, point: f64) -> bool {
        !service.recent && point < self.config.probe_fraction
    }

    fn too_near(&self, query: &AdmissionQuery, estimate: FinishEstimate) -> AdmissionRefusal {
        AdmissionRefusal {
            reason: RefusalReason::DeadlineTooNear,
            retry_after: spread(self.config.sample_life(), query.point),
            estimate,
        }
    }
}

/// Wait of a request behind those that are not of lower rank: every `mean / places` a place of the
/// batch frees up, and work of higher rank that is still to come takes its part of these.
fn expected_wait(query: &AdmissionQuery, mean: Duration) -> Duration {
    let load = &query.load;
    let places = load.batch_limit();
    if load.corrected() < places {
        return Duration::ZERO;
    }
    let turns = (load.waiting_ahead() + 1.0) / f64::from(places);
    let left = (1.0 - query.higher_part).max(LEAST_PART_LEFT);
    mean.mul_f64(turns / left)
}

fn spread(time: Duration, point: f64) -> Duration {
    time.mul_f64(1.0 + RETRY_SPREAD * point).max(SHORTEST_RETRY)
}
