//! The permits that this router issues to all routers.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::limits::{
    ColdAllowance, PermitOutcome, RoomGuard, RoomLoad, RoomQuery, UpstreamLimiter,
};
use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;

use super::permit_message::{PermitEvent, PermitReport, StatedLoad};
use super::permit_metrics::{self, PermitEnd};

/// Time after which the permits of an upstream for which nobody asks are forgotten.
const IDLE_MEMORY: Duration = Duration::from_secs(60);

/// Fraction of a limit that is issued as permits. Two routers that both issue them, since others reach only one of them, then stay within the bound of
/// one and a half times the limit.
const ISSUED_FRACTION: f64 = 0.75;
/// Longest time after which a permit of a cold upstream is to be asked for again, which is not cold for long.
const MAX_COLD_WAIT: Duration = Duration::from_secs(1);

/// Permits by upstream.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    upstreams: HashMap<UpstreamIncarnation, IssuedPermits>,
}

/// Permits of one upstream.
#[derive(Debug)]
struct IssuedPermits {
    service: ServiceName,
    /// Absent while the upstream names no requests per second and is not cold.
    limiter: Option<UpstreamLimiter>,
    /// Absent while it is not brittle.
    guard: Option<RoomGuard>,
    asked_at: MonotonicTime,
    /// Open permits as they were last added to the metrics.
    counted_open: usize,
}

/// A query for a permit.
#[derive(Debug)]
pub struct IssueQuery<'a> {
    /// Upstream.
    pub upstream: &'a UpstreamIncarnation,
    /// Its service; empty if the asking router did not name it.
    pub service: &'a ServiceName,
    /// Requests per second that it takes, if it names them.
    pub per_second: Option<f64>,
    /// What may be issued while it is cold; absent if it is not.
    pub cold: Option<ColdAllowance>,
    /// Details if it is brittle.
    pub room: Option<&'a RoomQuery>,
    /// Last load that the asking router heard of.
    pub load: Option<StatedLoad>,
    /// Whether no other router can have issued permits.
    pub is_only: bool,
}

impl IssueQuery<'_> {
    /// The bucket of the upstream; `None` if nothing limits its requests per second.
    fn bucket(&self) -> Option<ColdAllowance> {
        let stated = self.per_second.map(|per_second| ColdAllowance {
            per_second: per_second * ISSUED_FRACTION,
            capacity: f64::INFINITY,
        });
        let limits = stated.into_iter().chain(self.cold);
        limits.reduce(|one, other| ColdAllowance {
            per_second: one.per_second.min(other.per_second),
            capacity: one.capacity.min(other.capacity),
        })
    }
}

impl PermitIssuer {
    /// Issues a permit.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none.
    pub fn issue(&mut self, query: &IssueQuery<'_>, now: MonotonicTime) -> Result<(), Duration> {
        let permits = self.permits(query, now);
        let permit = permits.issue(query, now);
        permit_metrics::count_permit(query.service, permit.is_ok());
        permits.count_open();
        permit
    }

    /// Records that `upstream` rejected a request without a permit for want of room.
    pub fn record_rejection(&mut self, upstream: &UpstreamIncarnation, now: MonotonicTime) {
        let permits = self.upstreams.get_mut(upstream);
        if let Some(guard) = permits.and_then(|permits| permits.guard.as_mut()) {
            guard.record_rejection(now);
        }
    }

    /// Records what became of a permit of `router`.
    pub fn record_report(&mut self, router: &HostName, report: &PermitReport, now: MonotonicTime) {
        if let Some(permits) = self.upstreams.get_mut(&report.upstream) {
            permits.record_report(router, report, now);
            permits.count_open();
        }
    }

    /// Requests per second that `upstream`, which is brittle, has answered lately.
    pub fn per_second(&self, upstream: &UpstreamIncarnation) -> Option<f64> {
        let guard = self.upstreams.get(upstream)?.guard.as_ref()?;
        guard.per_second()
    }

    /// Number of open permits for the upstreams of `service`.
    pub fn open(&self, service: &ServiceName) -> usize {
        let permits = self.upstreams.values();
        let permits = permits.filter(|permits| permits.service == *service);
        permits.map(|permits| permits.counted_open).sum()
    }

    /// The permits of the upstream of `query`; forgets those for which nobody asks.
    fn permits(&mut self, query: &IssueQuery<'_>, now: MonotonicTime) -> &mut IssuedPermits {
        self.upstreams
            .retain(|_, permits| now.since(permits.asked_at) < IDLE_MEMORY);
        let permits = self.upstreams.entry(query.upstream.clone());
        let permits = permits.or_insert_with(|| IssuedPermits {
            service: query.service.clone(),
            limiter: None,
            guard: None,
            asked_at: now,
            counted_open: 0,
        });
        permits.asked_at = now;
        permits
    }
}

impl IssuedPermits {
    fn issue(&mut self, query: &IssueQuery<'_>, now: MonotonicTime) -> Result<(), Duration> {
        if let Some(room) = query.room {
            let guard = self.guard.get_or_insert_with(|| {
                permit_metrics::count_issuer_start(query.service, room.is_substitute);
                RoomGuard::new(query.is_only, now)
            });
            if let Some(load) = query.load {
                guard.record_load(room_load(load), now);
            }
            guard.take(room, now)?;
        }
        let Some(bucket) = query.bucket() else {
            self.limiter = None;
            return Ok(());
        };
        let limiter = self
            .limiter
            .get_or_insert_with(|| UpstreamLimiter::new(bucket.per_second, now));
        limiter.set_limit(bucket.per_second, bucket.capacity, now);
        let permit = limiter.take(now).map_err(|wait| match query.cold {
            Some(_) => wait.min(MAX_COLD_WAIT),
            None => wait,
        });
        if let (Err(_), Some(room), Some(guard)) = (&permit, query.room, &mut self.guard) {
            guard.end(&room.key, PermitOutcome::Unused, None, Duration::ZERO, now);
        }
        permit
    }

    fn record_report(&mut self, router: &HostName, report: &PermitReport, now: MonotonicTime) {
        let Some(guard) = &mut self.guard else {
            return;
        };
        let key = (router.clone(), report.number);
        let age = Duration::from_millis(report.age_ms);
        let load = report.load.map(room_load);
        let outcome = match report.event {
            PermitEvent::Answering => {
                if let Some(load) = load {
                    guard.record_load(load, now);
                }
                return;
            }
            PermitEvent::Unused if report.was_sent => PermitOutcome::Abandoned,
            PermitEvent::Unused => PermitOutcome::Unused,
            PermitEvent::Done => PermitOutcome::Done,
            PermitEvent::Rejected => PermitOutcome::Rejected,
        };
        guard.end(&key, outcome, load, age, now);
        permit_metrics::count_permit_ends(&self.service, PermitEnd::Reported(outcome), 1);
    }

    /// Brings the metrics up to the open permits.
    fn count_open(&mut self) {
        let Some(guard) = &mut self.guard else {
            return;
        };
        let expired = guard.take_expired();
        if expired > 0 {
            permit_metrics::count_permit_ends(&self.service, PermitEnd::Expired, expired);
        }
        let open = guard.open();
        permit_metrics::change_open(&self.service, open as f64 - self.counted_open as f64);
        self.counted_open = open;
    }
}

impl Drop for IssuedPermits {
    fn drop(&mut self) {
        permit_metrics::change_open(&self.service, -(self.counted_open as f64));
    }
}

fn room_load(load: StatedLoad) -> RoomLoad {
    RoomLoad {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        age: Duration::from_millis(load.age_ms),
    }
}
