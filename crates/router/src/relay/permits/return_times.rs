//! Times at which rejected callers may return to upstreams that are all at their limits.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::names::ServiceName;
use ferry_decisions::time::MonotonicTime;

/// Longest time after which a caller is told to return.
const MAX_RETURN_TIME: Duration = Duration::from_secs(30);

/// The return times given last, by service.
#[derive(Debug, Default)]
pub struct ReturnTimes {
    last: HashMap<ServiceName, MonotonicTime>,
}

impl ReturnTimes {
    /// Time after which the next rejected caller of `service` may return, at this router's part of `per_second` requests per second over
    /// `routers` routers.
    pub fn next(
        &mut self,
        service: &ServiceName,
        per_second: f64,
        routers: usize,
        now: MonotonicTime,
    ) -> Duration {
        let next = self.end_of_next(service, per_second, routers, now);
        self.last.insert(service.clone(), next);
        next.since(now)
    }

    /// The time that [`ReturnTimes::next`] would return.
    pub fn peek(
        &self,
        service: &ServiceName,
        per_second: f64,
        routers: usize,
        now: MonotonicTime,
    ) -> Duration {
        let next = self.end_of_next(service, per_second, routers, now);
        next.since(now)
    }

    fn end_of_next(
        &self,
        service: &ServiceName,
        per_second: f64,
        routers: usize,
        now: MonotonicTime,
    ) -> MonotonicTime {
        let step = routers.max(1) as f64 / per_second.max(f64::MIN_POSITIVE);
        let step = Duration::try_from_secs_f64(step).unwrap_or(MAX_RETURN_TIME);
        let last = self.last.get(service).map_or(now, |last| (*last).max(now));
        let next = last.after(step.min(MAX_RETURN_TIME));
        next.min(now.after(MAX_RETURN_TIME))
    }
}
