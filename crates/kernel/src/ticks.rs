//! Regular ticks for background work.

use std::time::Duration;

use tokio::time::{Interval, MissedTickBehavior, interval};

/// Ticks that come at once and then every `period`; after a late one the next is a whole period away.
pub fn every(period: Duration) -> Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
