//! Background tasks that panic or end too early.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_kernel::supervisor::{Supervisor, TaskPlan};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Longer than all pauses before an essential task is given up.
const LONG: Duration = Duration::from_secs(30);

/// Keeps a task that fails at its first `failures` starts, by panics if `panics`; returns the number of its starts after [`LONG`].
async fn starts(supervisor: &Supervisor, plan: TaskPlan, failures: usize, panics: bool) -> usize {
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    supervisor.keep(plan, move || {
        let number = counted.fetch_add(1, Ordering::AcqRel);
        async move {
            match number < failures {
                true if panics => panic!("a planned panic"),
                true => {}
                false => std::future::pending().await,
            }
        }
    });
    sleep(LONG).await;
    starts.load(Ordering::Acquire)
}

async fn has_failed(supervisor: &Supervisor) -> bool {
    timeout(Duration::from_millis(1), supervisor.failed())
        .await
        .is_ok()
}

/// Guards against a task whose end nobody notices.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_or_ends_is_started_again() {
    for panics in [true, false] {
        let supervisor = Supervisor::new(CancellationToken::new());
        let plan = TaskPlan::essential("essential");
        assert_eq!(starts(&supervisor, plan, 3, panics).await, 4, "{panics}");
        assert!(!has_failed(&supervisor).await);
    }
}

#[tokio::test(start_paused = true)]
async fn a_finite_task_is_started_again_after_a_panic_only() {
    let supervisor = Supervisor::new(CancellationToken::new());
    let plan = TaskPlan::essential("finite").finite();
    assert_eq!(starts(&supervisor, plan, 3, true).await, 4);
    assert_eq!(starts(&supervisor, plan, 3, false).await, 1);
}

#[tokio::test(start_paused = true)]
async fn a_process_is_given_up_for_essential_tasks_alone() {
    let supervisor = Supervisor::new(CancellationToken::new());
    let helper = TaskPlan::helper("helper");
    assert!(starts(&supervisor, helper, 1_000, true).await > 6);
    assert!(!has_failed(&supervisor).await);
    let essential = TaskPlan::essential("essential");
    assert_eq!(starts(&supervisor, essential, 1_000, true).await, 6);
    assert!(has_failed(&supervisor).await);
}

#[tokio::test(start_paused = true)]
async fn no_task_is_started_again_once_the_process_closes() {
    let closing = CancellationToken::new();
    let supervisor = Supervisor::new(closing.clone());
    closing.cancel();
    let plan = TaskPlan::helper("helper");
    assert!(starts(&supervisor, plan, 1_000, true).await <= 1);
}
