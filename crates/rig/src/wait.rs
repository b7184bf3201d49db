//! Polling of conditions, with a time limit that is reached only when something is wrong.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Time limit of a wait, long enough to be reached only when something is wrong.
pub const LONG_WAIT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value.
///
/// # Panics
///
/// Panics with the description `what` when [`LONG_WAIT`] has passed.
pub async fn eventually<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let limit = Instant::now() + LONG_WAIT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            Instant::now() < limit,
            "condition not met within {LONG_WAIT:?}: {what}"
        );
        sleep(POLL_INTERVAL).await;
    }
}
