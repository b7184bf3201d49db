//! One router's share of the fleet's retries to a service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonotonicTime;

/// Time resolution of the window: requests within one slot are counted together.
const SLOT: Duration = Duration::from_millis(100);
/// Shortest time over which a rate is computed.
const MIN_SPAN: Duration = Duration::from_secs(1);

/// Limits of one router's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShareConfig {
    /// Retries that each new request adds.
    pub earned: f64,
    /// Retries that may be left over for each new request of the last window.
    pub saved: f64,
    /// Retries that may be left over besides; the router gets them once.
    pub burst: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Number of new requests in one slot.
#[derive(Debug, Clone, Copy)]
struct RequestSlot {
    start: MonotonicTime,
    new_requests: u32,
}

/// Token bucket of retries that new requests fill, and that is empty at the router's start.
///
/// In any window a router makes no more retries than its bucket holds at the beginning and its new requests add.
/// The limits on both add up over routers, whatever part of the traffic each gets and whenever it starts: the sum over
/// the fleet is at most `earned` for each request of the window, `saved` for each of the window before, and for each
/// router `burst` and once `earned`.
#[derive(Debug, Default)]
pub struct RetryShare {
    /// Retries left. Never negative, and never more than the limit on what may be left over plus `earned`, for the
    /// newest request.
    tokens: f64,
    /// Part of the burst that was already added.
    added_burst: f64,
    /// Slots of the last window, oldest first.
    slots: VecDeque<RequestSlot>,
    /// Requests in `slots`.
    new_requests: u32,
}

impl RetryShare {
    /// Records a new request, which adds `earned` retries.
    pub fn record_new_request(&mut self, config: &RetryShareConfig, now: MonotonicTime) {
        self.refresh(config, now);
        self.tokens = self.tokens.min(self.left_over_limit(config));
        self.slot(now).new_requests += 1;
        self.new_requests += 1;
        self.tokens += config.earned;
    }

    /// Takes a retry if the share covers it and, for other purposes, the fraction `reserve` of what may be left over;
    /// returns whether it does.
    pub fn spend(&mut self, config: &RetryShareConfig, reserve: f64, now: MonotonicTime) -> bool {
        let left = self.left(config, now);
        let reserved = reserve * self.left_over_limit(config);
        if left - reserved < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Number of retries that are allowed now; may be fractional.
    pub fn left(&mut self, config: &RetryShareConfig, now: MonotonicTime) -> f64 {
        self.refresh(config, now);
        self.tokens = self
            .tokens
            .min(self.left_over_limit(config) + config.earned);
        self.tokens
    }

    /// New requests per second since the oldest one in the window, over at least [`MIN_SPAN`].
    pub fn new_request_rate(&mut self, config: &RetryShareConfig, now: MonotonicTime) -> f64 {
        self.refresh(config, now);
        let Some(oldest) = self.slots.front() else {
            return 0.0;
        };
        let span = now.since(oldest.start).max(MIN_SPAN);
        f64::from(self.new_requests) / span.as_secs_f64()
    }

    /// Removes old slots, and adds the part of the burst that is new.
    fn refresh(&mut self, config: &RetryShareConfig, now: MonotonicTime) {
        self.expire(config.window, now);
        if config.burst > self.added_burst {
            self.tokens += config.burst - self.added_burst;
            self.added_burst = config.burst;
        }
    }

    /// Maximum number of retries that earlier requests may have left over.
    fn left_over_limit(&self, config: &RetryShareConfig) -> f64 {
        config.saved * f64::from(self.new_requests) + config.burst
    }

    fn slot(&mut self, now: MonotonicTime) -> &mut RequestSlot {
        let is_current = self
            .slots
            .back()
            .is_some_and(|slot| now.since(slot.start) < SLOT);
        if !is_current {
            self.slots.push_back(RequestSlot {
                start: now,
                new_requests: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Removes the slots that began before the window.
    fn expire(&mut self, window: Duration, now: MonotonicTime) {
        while let Some(slot) = self.slots.front() {
            if now.since(slot.start) <= window {
                return;
            }
            self.new_requests -= slot.new_requests;
            self.slots.pop_front();
        }
    }
}
