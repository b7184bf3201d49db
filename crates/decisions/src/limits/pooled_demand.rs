//! Demand of one workspace over all routers, counted before any refusal.

use std::time::Duration;

use smallvec::SmallVec;

use crate::names::Incarnation;

/// Most lives of router processes that are told apart; the ones heard longest ago go first.
const MOST_ROUTERS: usize = 512;

value_type! {
    /// Requests that one router process was offered since its start; only grows.
    #[derive(Copy)]
    pub struct OfferedCount {
        /// Life of the router process.
        pub router: Incarnation,
        /// Requests offered.
        pub total: u64,
    }
}

/// Last count of another router, with the time at which it came.
#[derive(Debug, Clone, Copy)]
struct HeardCount {
    count: OfferedCount,
    heard: Duration,
}

/// Offered requests of all routers, and their rate.
#[derive(Debug, Clone)]
pub struct PooledDemand {
    /// Time constant of the rate estimate: longer is smoother and slower.
    window: Duration,
    own: u64,
    others: SmallVec<[HeardCount; 8]>,
    /// Decayed number of requests; the rate times `window`.
    recent: f64,
    /// Time up to which `recent` is decayed.
    decayed_to: Duration,
}

impl PooledDemand {
    /// No demand so far; `window` is the time constant of the rate estimate.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            own: 0,
            others: SmallVec::new(),
            recent: 0.0,
            decayed_to: Duration::ZERO,
        }
    }

    /// Counts one request that this router was offered.
    pub fn offer(&mut self, now: Duration) {
        self.own += 1;
        self.add(now, 1);
    }

    /// Requests that this router was offered since its start, for its peers.
    pub fn own_total(&self) -> u64 {
        self.own
    }

    /// Takes over a peer's count; returns the requests that are new to this router.
    ///
    /// The first count of a router process is taken as a starting point: how much of it is recent
    /// is unknown. Counts that come late or twice change nothing.
    pub fn merge(&mut self, now: Duration, count: OfferedCount) -> u64 {
        let Some(known) = self
            .others
            .iter_mut()
            .find(|o| o.count.router == count.router)
        else {
            self.remember(HeardCount { count, heard: now });
            return 0;
        };
        let fresh = count.total.saturating_sub(known.count.total);
        known.count.total += fresh;
        known.heard = now;
        self.add(now, fresh);
        fresh
    }

    /// Requests per second over all routers.
    pub fn rate(&self, now: Duration) -> f64 {
        self.recent * self.decay_to(now) / self.window.as_secs_f64()
    }

    /// Time in which the rate falls from `rate` to `target` when nothing more is offered.
    pub fn time_to_fall(&self, rate: f64, target: f64) -> Duration {
        self.window.mul_f64((rate / target).ln().max(0.0))
    }

    fn add(&mut self, now: Duration, amount: u64) {
        self.recent = self.recent * self.decay_to(now) + amount as f64;
        self.decayed_to = self.decayed_to.max(now);
    }

    /// Factor by which `recent` decays from its time to `now`.
    fn decay_to(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.decayed_to);
        (-age.as_secs_f64() / self.window.as_secs_f64()).exp()
    }

    fn remember(&mut self, heard: HeardCount) {
        if self.others.len() >= MOST_ROUTERS {
            let oldest = (0..self.others.len()).min_by_key(|i| self.others[*i].heard);
            self.others.swap_remove(oldest.unwrap_or(0));
        }
        self.others.push(heard);
    }
}
