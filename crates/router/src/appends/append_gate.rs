//! Paces this router's appends and remembers whether the log takes them.

use std::time::Duration;

use ferry_decisions::bill::{AppendBudget, append_rate};
use ferry_decisions::claim::owned_shards;
use ferry_decisions::names::HostName;
use ferry_platform::log::{LogClient, LogError};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

/// Time over which all appends must have failed to count as an outage, which lost answers do not.
const OUTAGE_AFTER: Duration = Duration::from_secs(1);
/// Time after the last failure for which the outage is taken to last.
const OUTAGE_MEMORY: Duration = Duration::from_secs(1);

/// Appends that failed since the last one that succeeded.
#[derive(Debug, Clone, Copy)]
struct FailureRow {
    first: Instant,
    last: Instant,
}

/// Gate that every append of claims and bills passes.
#[derive(Debug)]
pub struct AppendGate {
    /// Point that the budget's times count from.
    start: Instant,
    /// Appends a second of the whole fleet.
    fleet_rate: f64,
    /// Rate that the budget takes at its next turn.
    rate: Mutex<f64>,
    /// Held while an append waits for its turn, so that turns come in order.
    budget: tokio::sync::Mutex<AppendBudget>,
    /// `None` while appends succeed.
    failures: Mutex<Option<FailureRow>>,
}

impl AppendGate {
    /// A gate for a fleet of `fleet_rate` appends a second, until the members are known.
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

    /// Takes the share that `host` has among the `live` routers.
    pub fn share(&self, host: &HostName, live: &[HostName]) {
        *self.rate.lock() = append_rate(self.fleet_rate, owned_shards(host, live).count());
    }

    /// Waits until an append is allowed, and takes it.
    pub async fn turn(&self) {
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

    /// Appends `data` after a turn was taken.
    ///
    /// # Errors
    ///
    /// As [`LogClient::append`].
    pub async fn append(
        &self,
        log: &LogClient,
        stream: &str,
        data: String,
    ) -> Result<u64, LogError> {
        let result = log.append(stream, data).await;
        self.note(result.is_ok());
        metrics::counter!("ferry_appends_total", "taken" => result.is_ok().to_string())
            .increment(1);
        result
    }

    /// Whether the log took no append for some time, up to now.
    pub fn is_out(&self) -> bool {
        self.failures.lock().is_some_and(|row| {
            row.last - row.first >= OUTAGE_AFTER && row.last.elapsed() < OUTAGE_MEMORY
        })
    }

    fn note(&self, taken: bool) {
        let mut failures = self.failures.lock();
        let last = Instant::now();
        let first = failures.map_or(last, |row| row.first);
        *failures = (!taken).then_some(FailureRow { first, last });
    }
}
