//! Pauses between the restarts of a background task, and when its process is given up.

use std::time::Duration;

use ferry_decisions::supervision::{RestartPace, RestartStep, TaskWeight};

fn millis(step: RestartStep) -> Option<u128> {
    match step {
        RestartStep::Restart(pause) => Some(pause.as_millis()),
        RestartStep::GiveUp => None,
    }
}

/// Guards against a task that fails at once, again and again, and keeps its process busy.
#[test]
fn pauses_grow_while_a_task_fails_in_a_row() {
    let mut pace = RestartPace::new(TaskWeight::Helper);
    let pauses: Vec<_> = (0..8)
        .map(|_| millis(pace.record_failure(Duration::ZERO)).unwrap())
        .collect();
    assert_eq!(pauses, [100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000]);
    for _ in 0..100 {
        assert_eq!(millis(pace.record_failure(Duration::ZERO)), Some(5_000));
    }
}

#[test]
fn a_failure_after_a_calm_time_is_the_first_one() {
    let mut pace = RestartPace::new(TaskWeight::Essential);
    for _ in 0..50 {
        let step = pace.record_failure(Duration::from_secs(60));
        assert_eq!(millis(step), Some(100));
    }
}

/// Guards against a process that goes on with a belief that nobody refreshes.
#[test]
fn an_essential_task_that_cannot_run_gives_its_process_up() {
    let mut pace = RestartPace::new(TaskWeight::Essential);
    let steps: Vec<_> = (0..6)
        .map(|_| millis(pace.record_failure(Duration::from_millis(5))))
        .collect();
    assert_eq!(
        steps,
        [
            Some(100),
            Some(200),
            Some(400),
            Some(800),
            Some(1_600),
            None
        ]
    );
}
