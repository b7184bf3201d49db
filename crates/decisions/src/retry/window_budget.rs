//! Repeated sends to a service, bounded in every window by its fresh requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonotonicTime;

/// Length of a slot in which sends are counted together.
const SLOT: Duration = Duration::from_millis(100);

/// Least time over which a rate is taken.
const LEAST_SPAN: Duration = Duration::from_secs(1);

/// Bounds of one router's part of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowBudgetConfig {
    /// Repeated sends for each fresh request of the window.
    pub ratio: f64,
    /// Repeated sends besides in each window.
    pub burst: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts of one slot.
#[derive(Debug, Clone, Copy)]
struct BudgetSlot {
    start: MonotonicTime,
    fresh: u32,
    repeated: u32,
}

/// Sliding window over one router's sends to one service.
///
/// A repeated send is covered while the window that ends with it stays within the bound. So
/// every window does, and the sum over routers stays within the sum of their bounds.
#[derive(Debug, Default)]
pub struct WindowBudget {
    /// Slots of the window, oldest first.
    slots: VecDeque<BudgetSlot>,
    fresh: u32,
    repeated: u32,
}

impl WindowBudget {
    /// Counts a fresh request.
    pub fn fund(&mut self, config: &WindowBudgetConfig, now: MonotonicTime) {
        self.expire(config, now);
        self.slot(now).fresh += 1;
        self.fresh += 1;
    }

    /// Counts a repeated send if it is covered, with `spared` of them kept for other purposes.
    pub fn spend(&mut self, config: &WindowBudgetConfig, spared: f64, now: MonotonicTime) -> bool {
        if self.left(config, now) - spared < 1.0 {
            return false;
        }
        self.slot(now).repeated += 1;
        self.repeated += 1;
        true
    }

    /// Repeated sends that are covered now; may be a fraction or below 0.
    pub fn left(&mut self, config: &WindowBudgetConfig, now: MonotonicTime) -> f64 {
        self.expire(config, now);
        config.ratio * f64::from(self.fresh) + config.burst - f64::from(self.repeated)
    }

    /// Fresh requests in a second, over the part of the window in which there was any.
    pub fn fresh_rate(&mut self, config: &WindowBudgetConfig, now: MonotonicTime) -> f64 {
        self.expire(config, now);
        let Some(oldest) = self.slots.front() else {
            return 0.0;
        };
        let span = now.since(oldest.start).max(LEAST_SPAN);
        f64::from(self.fresh) / span.as_secs_f64()
    }

    fn slot(&mut self, now: MonotonicTime) -> &mut BudgetSlot {
        let is_current = self
            .slots
            .back()
            .is_some_and(|slot| now.since(slot.start) < SLOT);
        if !is_current {
            self.slots.push_back(BudgetSlot {
                start: now,
                fresh: 0,
                repeated: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Forgets the slots that began before the window.
    fn expire(&mut self, config: &WindowBudgetConfig, now: MonotonicTime) {
        while let Some(slot) = self.slots.front() {
            if now.since(slot.start) <= config.window + SLOT {
                return;
            }
            self.fresh -= slot.fresh;
            self.repeated -= slot.repeated;
            self.slots.pop_front();
        }
    }
}
