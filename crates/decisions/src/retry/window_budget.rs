//! Limit on repeated sends to a service, relative to its new requests in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonotonicTime;

/// Time resolution of the window: sends within one slot are counted together.
const SLOT: Duration = Duration::from_millis(100);

/// Shortest time over which a rate is computed.
const MIN_SPAN: Duration = Duration::from_secs(1);

/// Limits of one router's share of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowBudgetConfig {
    /// Repeated sends allowed for each new request in the window.
    pub ratio: f64,
    /// Additional repeated sends allowed in each window.
    pub burst: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Number of new requests and of repeated sends in one slot.
#[derive(Debug, Clone, Copy)]
struct BudgetSlot {
    start: MonotonicTime,
    new_requests: u32,
    repeated: u32,
}

/// Sliding window over one router's sends to one service.
///
/// A repeated send is allowed if the window that ends with it stays within the limit. Therefore
/// every window stays within the limit, and the sum over all routers stays within the sum of their
/// limits.
#[derive(Debug, Default)]
pub struct WindowBudget {
    /// Slots of the window, oldest first.
    slots: VecDeque<BudgetSlot>,
    new_requests: u32,
    repeated: u32,
}

impl WindowBudget {
    /// Records a new request, which allows `ratio` more repeated sends.
    pub fn record_new_request(&mut self, config: &WindowBudgetConfig, now: MonotonicTime) {
        self.expire(config, now);
        self.slot(now).new_requests += 1;
        self.new_requests += 1;
    }

    /// Records a repeated send if the budget covers it and `reserved` further ones, which are kept
    /// for other purposes; returns whether it does.
    pub fn spend(
        &mut self,
        config: &WindowBudgetConfig,
        reserved: f64,
        now: MonotonicTime,
    ) -> bool {
        if self.left(config, now) - reserved < 1.0 {
            return false;
        }
        self.slot(now).repeated += 1;
        self.repeated += 1;
        true
    }

    /// Number of repeated sends that are allowed now; may be fractional or negative.
    pub fn left(&mut self, config: &WindowBudgetConfig, now: MonotonicTime) -> f64 {
        self.expire(config, now);
        config.ratio * f64::from(self.new_requests) + config.burst - f64::from(self.repeated)
    }

    /// New requests per second since the oldest send in the window, over at least [`MIN_SPAN`].
    pub fn new_request_rate(&mut self, config: &WindowBudgetConfig, now: MonotonicTime) -> f64 {
        self.expire(config, now);
        let Some(oldest) = self.slots.front() else {
            return 0.0;
        };
        let span = now.since(oldest.start).max(MIN_SPAN);
        f64::from(self.new_requests) / span.as_secs_f64()
    }

    fn slot(&mut self, now: MonotonicTime) -> &mut BudgetSlot {
        let is_current = self
            .slots
            .back()
            .is_some_and(|slot| now.since(slot.start) < SLOT);
        if !is_current {
            self.slots.push_back(BudgetSlot {
                start: now,
                new_requests: 0,
                repeated: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Removes the slots that began before the window.
    fn expire(&mut self, config: &WindowBudgetConfig, now: MonotonicTime) {
        while let Some(slot) = self.slots.front() {
            if now.since(slot.start) <= config.window + SLOT {
                return;
            }
            self.new_requests -= slot.new_requests;
            self.repeated -= slot.repeated;
            self.slots.pop_front();
        }
    }
}
