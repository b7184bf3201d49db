//! Demand of one workspace over all routers, counted before refusals.

use std::time::Duration;

use smallvec::SmallVec;

use crate::names::Incarnation;
use crate::time::nearest_span;

/// Maximum number of router incarnations to keep counts of; beyond it, the one whose last report is
/// oldest is removed.
const MAX_ROUTERS: usize = 512;

value_type! {
    /// Number of requests offered to one router process since its start; never decreases.
    #[derive(Copy)]
    pub struct OfferedCount {
        /// Incarnation of the router process.
        pub router: Incarnation,
        /// Number of requests offered.
        pub total: u64,
    }
}

/// Last count of another router, and the time at which it arrived.
#[derive(Debug, Clone, Copy)]
struct PeerCount {
    count: OfferedCount,
    received_at: Duration,
}

/// Offered requests of all routers and their rate.
#[derive(Debug, Clone)]
pub struct PooledDemand {
    /// Time constant of the rate estimate; a longer one is smoother and reacts more slowly.
    window: Duration,
    own: u64,
    peers: SmallVec<[PeerCount; 8]>,
    /// Decayed number of requests, which equals the rate times `window`.
    recent: f64,
    /// Time up to which `recent` is decayed.
    decayed_to: Duration,
}

impl PooledDemand {
    /// Creates a demand of 0; `window` is the time constant of the rate estimate.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            own: 0,
            peers: SmallVec::new(),
            recent: 0.0,
            decayed_to: Duration::ZERO,
        }
    }

    /// Records one request offered to this router.
    pub fn offer(&mut self, now: Duration) {
        self.own += 1;
        self.add(now, 1);
    }

    /// Number of requests offered to this router since its start, to be sent to its peers.
    pub fn own_total(&self) -> u64 {
        self.own
    }

    /// Applies a peer's count; returns the number of requests that this router did not know of.
    ///
    /// The first count of a router process is only a baseline, since it is unknown how much of it
    /// is recent. Counts that arrive late or twice change nothing.
    pub fn merge(&mut self, now: Duration, count: OfferedCount) -> u64 {
        let Some(known) = self
            .peers
            .iter_mut()
            .find(|peer| peer.count.router == count.router)
        else {
            self.insert_peer(PeerCount {
                count,
                received_at: now,
            });
            return 0;
        };
        let fresh = count.total.saturating_sub(known.count.total);
        known.count.total += fresh;
        known.received_at = now;
        self.add(now, fresh);
        fresh
    }

    /// Rate over all routers, in requests per second.
    pub fn rate(&self, now: Duration) -> f64 {
        self.recent * self.decay_to(now) / self.window.as_secs_f64()
    }

    /// Time in which the estimate falls from `rate` to `target` if no more requests are offered.
    pub fn time_to_fall(&self, rate: f64, target: f64) -> Duration {
        nearest_span(self.window.as_secs_f64() * (rate / target).ln())
    }

    fn add(&mut self, now: Duration, amount: u64) {
        self.recent = self.recent * self.decay_to(now) + amount as f64;
        self.decayed_to = self.decayed_to.max(now);
    }

    /// Factor by which `recent` decays from `decayed_to` to `now`.
    fn decay_to(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.decayed_to);
        (-age.as_secs_f64() / self.window.as_secs_f64()).exp()
    }

    fn insert_peer(&mut self, peer: PeerCount) {
        if self.peers.len() >= MAX_ROUTERS {
            let oldest = (0..self.peers.len()).min_by_key(|i| self.peers[*i].received_at);
            self.peers.swap_remove(oldest.unwrap_or(0));
        }
        self.peers.push(peer);
    }
}
