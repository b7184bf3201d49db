//! Keeps the background tasks of a process running.

use std::future::Future;

use ferry_decisions::supervision::{RestartPace, RestartStep, TaskDuty, TaskWeight};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::panics::caught;

/// Metric: failures of background tasks, by task.
const FAILURES_METRIC: &str = "ferry_task_failures_total";

/// A background task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskPlan {
    /// Name in log lines and metrics.
    pub name: &'static str,
    /// When it is done.
    pub duty: TaskDuty,
    /// What the process is worth without it.
    pub weight: TaskWeight,
}

impl TaskPlan {
    /// A task that runs as long as the process, which is worth nothing without it.
    pub const fn essential(name: &'static str) -> Self {
        Self {
            name,
            duty: TaskDuty::Endless,
            weight: TaskWeight::Essential,
        }
    }

    /// A task that runs as long as the process, which can do without it for a while.
    pub const fn helper(name: &'static str) -> Self {
        Self {
            name,
            duty: TaskDuty::Endless,
            weight: TaskWeight::Helper,
        }
    }

    /// The same for a task that ends when its work is done.
    pub const fn finite(self) -> Self {
        Self {
            duty: TaskDuty::Finite,
            ..self
        }
    }
}

/// Starts background tasks, and starts those again that panic or end too early.
#[derive(Debug, Clone, Default)]
pub struct Supervisor {
    /// Cancels all tasks.
    closing: CancellationToken,
    /// Cancelled once an essential task can't be kept running.
    failed: CancellationToken,
}

impl Supervisor {
    /// A supervisor whose tasks end when `closing` is cancelled.
    pub fn new(closing: CancellationToken) -> Self {
        Self {
            closing,
            failed: CancellationToken::new(),
        }
    }

    /// Runs the task that `start` gives, and starts it again after each failure, with a growing pause.
    pub fn keep<T>(&self, plan: TaskPlan, start: impl FnMut() -> T + Send + 'static)
    where
        T: Future<Output = ()> + Send + 'static,
    {
        let kept = keep_running(plan, start, self.failed.clone());
        tokio::spawn(self.closing.clone().run_until_cancelled_owned(kept));
    }

    /// Waits until an essential task can't be kept running: the process is to end, so that another one takes its place.
    pub async fn failed(&self) {
        self.failed.cancelled().await;
    }
}

async fn keep_running<T>(
    plan: TaskPlan,
    mut start: impl FnMut() -> T + Send,
    failed: CancellationToken,
) where
    T: Future<Output = ()> + Send,
{
    let mut pace = RestartPace::new(plan.weight);
    loop {
        let begun_at = Instant::now();
        let ended = caught(start()).await;
        if ended.is_some() && plan.duty == TaskDuty::Finite {
            return;
        }
        let step = pace.record_failure(begun_at.elapsed());
        report_failure(plan, ended.is_none(), step);
        match step {
            RestartStep::Restart(pause) => sleep(pause).await,
            RestartStep::GiveUp => {
                failed.cancel();
                return;
            }
        }
    }
}

fn report_failure(plan: TaskPlan, has_panicked: bool, step: RestartStep) {
    metrics::counter!(FAILURES_METRIC, "task" => plan.name).increment(1);
    spdlog::error!("a background task failed", kv: {
        task = plan.name,
        panicked = has_panicked,
        next:? = step,
    });
}
