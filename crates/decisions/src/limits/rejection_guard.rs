//! Permits for the requests that an upstream takes which breaks down when it has to reject many.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonotonicTime;

/// Span in which the upstream counts its rejections.
const SPAN: Duration = Duration::from_secs(1);
/// Time without a rejection after which permits are issued without a limit again.
const CALM_TIME: Duration = Duration::from_secs(10);
/// Shortest time between two cuts of the rate, in which the effect of the first shows.
const CUT_PERIOD: Duration = Duration::from_millis(200);
/// Factor by which a rejection cuts the rate.
const CUT_FACTOR: f64 = 0.8;
/// Growth of the rate per second without a rejection, as a fraction of it.
const GROWTH: f64 = 0.1;
/// Lowest rate, in permits per second.
const MIN_RATE: f64 = 0.5;

/// Permits for one such upstream: unlimited until it rejects requests, then at a rate that rejections cut and their absence lets
/// grow, and none while half of the rejections that it survives in a second have been made in the last one.
#[derive(Debug, Clone, Default)]
pub struct RejectionGuard {
    /// Times of the permits and the rejections of the last [`SPAN`].
    issued: VecDeque<MonotonicTime>,
    rejected: VecDeque<MonotonicTime>,
    rate: Option<RejectionRate>,
}

/// Rate of permits after a rejection.
#[derive(Debug, Clone, Copy)]
struct RejectionRate {
    per_second: f64,
    last_rejection: MonotonicTime,
    /// Time up to which the growth is included.
    grown_to: MonotonicTime,
}

impl RejectionGuard {
    /// Records that the upstream rejected a request for want of room.
    pub fn record_rejection(&mut self, now: MonotonicTime) {
        self.forget(now);
        self.rejected.push_back(now);
        let issued = self.issued.len() as f64 / SPAN.as_secs_f64();
        let current = self.rate.map(|rate| rate.per_second);
        let may_cut = self
            .rate
            .is_none_or(|rate| now.since(rate.last_rejection) >= CUT_PERIOD);
        let per_second = match (current, may_cut) {
            (Some(current), false) => current,
            (current, _) => current.unwrap_or(issued).min(issued) * CUT_FACTOR,
        };
        self.rate = Some(RejectionRate {
            per_second: per_second.max(MIN_RATE),
            last_rejection: now,
            grown_to: now,
        });
    }

    /// Takes a permit to send to the upstream, which survives `survived` rejections per second.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none.
    pub fn take(&mut self, survived: u32, now: MonotonicTime) -> Result<(), Duration> {
        self.forget(now);
        let most = (survived as usize / 2).max(1);
        if let Some(first) = self.rejected.iter().rev().nth(most - 1) {
            return Err(SPAN.saturating_sub(now.since(*first)));
        }
        if let Some(rate) = self.grown_rate(now) {
            let pause = Duration::from_secs_f64(1.0 / rate);
            let last = self.issued.back();
            let passed = last.map_or(pause, |last| now.since(*last));
            if passed < pause {
                return Err(pause - passed);
            }
        }
        self.issued.push_back(now);
        Ok(())
    }

    /// Rate at `now`; `None` if permits are not limited.
    fn grown_rate(&mut self, now: MonotonicTime) -> Option<f64> {
        let rate = self.rate.as_mut()?;
        if now.since(rate.last_rejection) >= CALM_TIME {
            self.rate = None;
            return None;
        }
        rate.per_second *= 1.0 + GROWTH * now.since(rate.grown_to).as_secs_f64();
        rate.grown_to = rate.grown_to.max(now);
        Some(rate.per_second)
    }

    fn forget(&mut self, now: MonotonicTime) {
        for times in [&mut self.issued, &mut self.rejected] {
            while times.front().is_some_and(|at| now.since(*at) >= SPAN) {
                times.pop_front();
            }
        }
    }
}
