//! Measures for how long the tasks of a loop keep it from the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(1);

/// Looks again and again at the processor time of the thread it runs on: what passes between two looks is what the other tasks kept the
/// loop for. Time in which the thread did not run isn't counted, so that other programs on the machine change nothing.
pub struct LoopWatch {
    task: JoinHandle<()>,
    longest_nanos: Arc<AtomicU64>,
}

impl LoopWatch {
    /// Begins to look; on a runtime of one thread.
    pub fn start() -> Self {
        let longest_nanos = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn({
            let longest = Arc::clone(&longest_nanos);
            async move {
                let mut last = thread_time();
                loop {
                    sleep(LOOK_PERIOD).await;
                    let now = thread_time();
                    let kept = now.saturating_sub(last);
                    last = now;
                    longest.fetch_max(kept.as_nanos() as u64, Ordering::Relaxed);
                }
            }
        });
        Self {
            task,
            longest_nanos,
        }
    }

    /// Longest time for which the loop was kept, until after one more look.
    pub async fn longest(self) -> Duration {
        sleep(2 * LOOK_PERIOD).await;
        self.task.abort();
        Duration::from_nanos(self.longest_nanos.load(Ordering::Relaxed))
    }
}

/// Processor time of this thread.
fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .unwrap()
        .into()
}
