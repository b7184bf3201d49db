//! Measures how late the tasks of a process run: its event loop is behind when a timer fires long after its time.

use std::time::Duration;

use metrics::histogram;
use tokio::time::{Instant, sleep_until};

/// Time between two measurements.
const PERIOD: Duration = Duration::from_millis(250);
/// Lag from which on it is logged, at most once in each period.
const LOGGED_LAG: Duration = Duration::from_millis(200);

/// Records the lag of a timer in `ferry_loop_lag_seconds`, until the future is dropped.
pub async fn measure() {
    loop {
        let due = Instant::now() + PERIOD;
        sleep_until(due).await;
        let lag = due.elapsed();
        histogram!("ferry_loop_lag_seconds").record(lag.as_secs_f64());
        if lag >= LOGGED_LAG {
            spdlog::warn!("the event loop is behind", kv: { lag_ms = lag.as_millis() as u64 });
        }
    }
}
