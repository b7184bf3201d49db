//! Bound on the repeated sends of the whole fleet to one service, and each router's share of it.

use std::time::Duration;

use super::RetryShareConfig;

/// Fraction of the fleet's ratio that is used. The rest covers requests that a router counts later than their
/// callers sent them.
const USED_FRACTION: f64 = 0.95;
/// Fraction of the used ratio that a router may save up for later instead of spending it with the request.
const SAVED_FRACTION: f64 = 0.25;
/// Minimum number of shares into which the burst is divided, since some routers may be unknown.
const MIN_BURST_SHARES: f64 = 12.0;
/// Number of shares of the burst per known router.
const BURST_SHARES_PER_ROUTER: f64 = 1.5;

/// Bound on the repeated sends to a service, summed over all routers, in each window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryBound {
    /// Repeated sends allowed for each request of the window or the one before it.
    pub ratio: f64,
    /// Additional repeated sends allowed in each window.
    pub burst: f64,
    /// Length of the window.
    pub window: Duration,
}

impl FleetRetryBound {
    /// Share of a router that runs for `uptime` in a fleet of `routers`; `None` if their number is not known.
    pub fn share(&self, routers: Option<usize>, uptime: Duration) -> RetryShareConfig {
        let used = self.ratio * USED_FRACTION;
        let earned = used * (1.0 - SAVED_FRACTION);
        // A router may have the retries of its newest request left besides.
        let burst = self.part_of_burst(routers, uptime) - earned;
        RetryShareConfig {
            earned,
            saved: used * SAVED_FRACTION,
            burst: burst.max(0.0),
            window: self.window,
        }
    }

    /// A router has no part of the burst until it has run for a whole window: until then, an earlier process on its
    /// host may have spent that part in the same window.
    fn part_of_burst(&self, routers: Option<usize>, uptime: Duration) -> f64 {
        let Some(routers) = routers.filter(|_| uptime >= self.window) else {
            return 0.0;
        };
        let shares = (routers as f64 * BURST_SHARES_PER_ROUTER).max(MIN_BURST_SHARES);
        self.burst / shares
    }
}
