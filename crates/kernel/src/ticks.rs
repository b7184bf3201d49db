//! Regular ticks for background work.

use std::time::Duration;

use tokio::time::{Interval, MissedTickBehavior, interval};

/// Interval whose first tick is immediate and whose later ticks come every `period`; after a late
/// tick, the next one comes a whole period later.
pub fn every(period: Duration) -> Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
