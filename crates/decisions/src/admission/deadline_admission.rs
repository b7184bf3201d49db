//! Decides whether a request can be answered before its deadline.

use std::time::Duration;

use super::{AdmissionConfig, FairStanding, PriorityClass, ServiceEstimate};
use crate::choice::{UpstreamLoad, UpstreamView};
use crate::time::nearest_span;

/// Largest random fraction added to a Retry-After time, so that callers do not retry together.
const RETRY_JITTER: f64 = 0.25;
/// Lower bound on the fraction of a batch that work of higher rank leaves free.
const MIN_SHARE_LEFT: f64 = 0.02;
/// Shortest Retry-After time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Properties of one request and of the upstream that it would run on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionQuery {
    /// Time to the deadline; absent when the request has none.
    pub time_left: Option<Duration>,
    /// Priority of the request.
    pub class: PriorityClass,
    /// Whether the request is within its workspace's fair share.
    pub standing: FairStanding,
    /// Load of the upstream.
    pub load: UpstreamLoad,
    /// Fraction of the version's batches that work of higher rank occupies, from 0 to 1.
    pub higher_rank_share: f64,
    /// Service time of the version; absent with too few samples.
    pub service: Option<ServiceEstimate>,
    /// Random number for retry jitter and for selecting probes; uniform in `0.0..1.0`.
    pub point: f64,
}

/// Expected duration of a request until it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FinishEstimate {
    /// Expected time in the upstream's queue.
    pub wait: Duration,
    /// Expected time in the batch, at the configured quantile.
    pub service: Duration,
}

closed_set! {
    /// Reason why a request is not admitted.
    pub enum RefusalReason {
        /// The time left is shorter than the service time alone.
        DeadlineTooNear,
        /// The queue is too long for the time left.
        QueueTooLong,
        /// The workspace is beyond its fair share, and there is no spare capacity.
        BeyondFairPart,
    }
}

/// A refusal, sent to the caller immediately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request cannot be answered in time; send it again after {retry_after:?}")]
pub struct AdmissionRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the request is likely to be admitted.
    pub retry_after: Duration,
    /// The estimate that led to the refusal.
    pub estimate: FinishEstimate,
}

/// Fraction of the batches of `views` that work of higher rank occupies, from 0 to 1.
///
/// This is the mean over all upstreams, since new work of higher rank is distributed over all of
/// them.
pub fn higher_rank_share(views: &[UpstreamView<'_>]) -> f64 {
    let total: f64 = views.iter().map(|view| view.load.higher_rank_share()).sum();
    total / views.len().max(1) as f64
}

/// Admission by deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DeadlineAdmission {
    /// Settings of admission.
    pub config: AdmissionConfig,
}

impl DeadlineAdmission {
    /// Admits the request and returns its expected queue wait and service time, or refuses it.
    ///
    /// # Errors
    ///
    /// Fails with the reason and a Retry-After time when the request would probably not be answered
    /// in time.
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
            Some(_) if self.is_probe(&service, query.point) => return Ok(estimate),
            Some(_) => return Err(self.deadline_too_near(query, estimate)),
        };
        let class_wait = permitted.mul_f64(self.config.wait_fraction(query.class));
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
            retry_after: with_jitter(estimate.wait - permitted, query.point),
            estimate,
        })
    }

    /// Whether the request is admitted as a probe, to find out if a slow upstream has recovered.
    fn is_probe(&self, service: &ServiceEstimate, point: f64) -> bool {
        !service.recent && point < self.config.probe_fraction
    }

    fn deadline_too_near(
        &self,
        query: &AdmissionQuery,
        estimate: FinishEstimate,
    ) -> AdmissionRefusal {
        AdmissionRefusal {
            reason: RefusalReason::DeadlineTooNear,
            retry_after: with_jitter(self.config.sample_life(), query.point),
            estimate,
        }
    }
}

/// Expected wait behind the requests that are not of lower rank: a slot of the batch becomes free
/// every `mean / slots`, and work of higher rank that arrives later takes its share of these.
fn expected_wait(query: &AdmissionQuery, mean: Duration) -> Duration {
    let load = &query.load;
    let slots = load.batch_limit();
    if load.corrected() < slots {
        return Duration::ZERO;
    }
    let rounds = (load.waiting_ahead() + 1.0) / f64::from(slots);
    let left = (1.0 - query.higher_rank_share).max(MIN_SHARE_LEFT);
    nearest_span(mean.as_secs_f64() * rounds / left)
}

/// Lengthens `time` by the fraction `point` of [`RETRY_JITTER`]; at least [`MIN_RETRY_AFTER`].
fn with_jitter(time: Duration, point: f64) -> Duration {
    nearest_span(time.as_secs_f64() * (1.0 + RETRY_JITTER * point)).max(MIN_RETRY_AFTER)
}
