//! When a stop of the relay ends the requests in progress.

use std::future::Future;
use std::time::Duration;

use tokio::select;
use tokio::sync::SetOnce;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::request::RefusalReason;

/// End of the requests in progress, which a stop sets once.
#[derive(Debug, Default)]
pub struct WorkEnd(SetOnce<Instant>);

impl WorkEnd {
    /// Sets the end to `end`; a later call has no effect.
    pub fn set(&self, end: Instant) {
        let _ = self.0.set(end);
    }

    /// Whether a stop has set the end.
    pub fn is_set(&self) -> bool {
        self.0.get().is_some()
    }

    /// The earlier one of `deadline` and the end.
    pub fn limit(&self, deadline: Instant) -> Instant {
        let end = self.0.get();
        end.map_or(deadline, |end| deadline.min(*end))
    }

    /// Whether the relay stops and the end comes before `duration` has passed.
    pub fn is_within(&self, duration: Duration) -> bool {
        let end = self.0.get();
        end.is_some_and(|end| *end < Instant::now() + duration)
    }

    /// Runs `work` until it is done or requests in progress end.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Stopping`] when requests in progress end first.
    pub async fn run<T>(&self, work: impl Future<Output = T>) -> Result<T, RefusalReason> {
        let ended = async { sleep_until(*self.0.wait().await).await };
        select! {
            biased;
            result = work => Ok(result),
            () = ended => Err(RefusalReason::Stopping),
        }
    }

    /// Runs `work` until it is done, `deadline` has come or requests in progress end.
    ///
    /// # Errors
    ///
    /// The reason for which the work was ended.
    pub async fn run_until<T>(
        &self,
        deadline: Instant,
        work: impl Future<Output = T>,
    ) -> Result<T, RefusalReason> {
        let result = timeout_at(deadline, self.run(work)).await;
        result.unwrap_or(Err(RefusalReason::DeadlinePassed))
    }
}
