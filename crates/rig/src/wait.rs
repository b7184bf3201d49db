//! Waiting on conditions, with a limit that only a fault reaches.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Limit of a wait.
pub const LONG_WAIT: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(20);

/// Looks at `condition` until it gives a value.
///
/// # Panics
///
/// Panics with `what` when the limit passes.
pub async fn eventually<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let limit = Instant::now() + LONG_WAIT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < limit, "waited in vain: {what}");
        sleep(PAUSE).await;
    }
}
