//! Limits the rate of this router's appends and detects outages of the log.

use std::time::Duration;

use ferry_decisions::bill::{AppendBudget, append_rate};
use ferry_decisions::claim::owned_shards;
use ferry_decisions::names::HostName;
use ferry_platform::log::{LogClient, LogError};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

/// Time for which all appends must have failed before the log counts as unavailable, so that single
/// lost answers do not.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time after the last failed append for which the log still counts as unavailable.
const OUTAGE_EXPIRY: Duration = Duration::from_secs(1);

/// First and last failure since the last successful append.
#[derive(Debug, Clone, Copy)]
struct FailureStreak {
    first: Instant,
    last: Instant,
}

/// Rate limiter and outage detector for all appends of claims and bills.
#[derive(Debug)]
pub struct AppendLimiter {
    /// Origin of the times given to the budget.
    start: Instant,
    /// Appends per second of the whole fleet.
    fleet_rate: f64,
    /// Appends per second of this router, applied to the budget at the next [`Self::acquire`].
    rate: Mutex<f64>,
    /// Locked while an append waits for its permission, so that waiting appends proceed in order.
    budget: tokio::sync::Mutex<AppendBudget>,
    /// `None` if the last append succeeded.
    failures: Mutex<Option<FailureStreak>>,
}

impl AppendLimiter {
    /// A limiter in a fleet with `fleet_rate` appends per second. Until [`Self::update_rate`] is
    /// called, it uses the rate of a router that owns no shard.
    pub fn new(fleet_rate: f64) -> Self {
        let rate = append_rate(fleet_rate, 0);
        Self {
            start: Instant::now(),
            fleet_rate,
            rate: Mutex::new(rate),
            budget: tokio::sync::Mutex::new(AppendBudget::new(rate)),
            failures: Mutex::default(),
        }
    }

    /// Sets the rate from the number of shards that `host` owns among the `live` routers.
    pub fn update_rate(&self, host: &HostName, live: &[HostName]) {
        *self.rate.lock() = append_rate(self.fleet_rate, owned_shards(host, live).count());
    }

    /// Waits until the budget allows an append, and consumes it.
    pub async fn acquire(&self) {
        let mut budget = self.budget.lock().await;
        loop {
            budget.set_rate(*self.rate.lock());
            let now = self.start.elapsed();
            if budget.take(now) {
                return;
            }
            sleep(budget.wait(now)).await;
        }
    }

    /// Appends `data`; call [`Self::acquire`] before.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`LogClient::append`].
    pub async fn append(
        &self,
        log: &LogClient,
        stream: &str,
        data: String,
    ) -> Result<u64, LogError> {
        let result = log.append(stream, data).await;
        self.record_result(result.is_ok());
        metrics::counter!("ferry_appends_total", "taken" => result.is_ok().to_string())
            .increment(1);
        result
    }

    /// Whether the log is in an outage: all appends have failed for some time, the last one recently.
    pub fn is_log_unavailable(&self) -> bool {
        self.failures.lock().is_some_and(|streak| {
            streak.last - streak.first >= OUTAGE_THRESHOLD && streak.last.elapsed() < OUTAGE_EXPIRY
        })
    }

    fn record_result(&self, succeeded: bool) {
        let mut failures = self.failures.lock();
        let last = Instant::now();
        let first = failures.map_or(last, |streak| streak.first);
        *failures = (!succeeded).then_some(FailureStreak { first, last });
    }
}
