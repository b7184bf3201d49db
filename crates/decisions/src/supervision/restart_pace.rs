//! Pace at which one background task is started again.

use std::time::Duration;

/// Pause after the first failure; each further one in a row doubles it.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a task must have run for its failure to count as the first one of a row.
const CALM_TIME: Duration = Duration::from_secs(60);
/// Number of failures in a row of an essential task after which the process is given up.
const MAX_FAILURES: u32 = 6;

closed_set! {
    /// When a task is done.
    pub enum TaskDuty {
        /// With the process: an earlier end is a failure.
        Endless,
        /// When it ends by itself.
        Finite,
    }

    /// What the process is worth without a task.
    pub enum TaskWeight {
        /// Nothing: it would go on with what nobody refreshes.
        Essential,
        /// As much as with it, for a while.
        Helper,
    }
}

/// What follows the failure of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartStep {
    /// It starts again after this pause.
    Restart(Duration),
    /// The process ends, so that another one takes its place.
    GiveUp,
}

/// Failures of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestartPace {
    weight: TaskWeight,
    /// Failures in a row.
    failures: u32,
}

impl RestartPace {
    /// The pace of a task that has not failed.
    pub fn new(weight: TaskWeight) -> Self {
        Self {
            weight,
            failures: 0,
        }
    }

    /// Records a failure of the task after it ran for `ran`.
    pub fn record_failure(&mut self, ran: Duration) -> RestartStep {
        let before = if ran >= CALM_TIME { 0 } else { self.failures };
        self.failures = before.saturating_add(1);
        if self.weight == TaskWeight::Essential && self.failures >= MAX_FAILURES {
            return RestartStep::GiveUp;
        }
        let doublings = self.failures.saturating_sub(1).min(u32::BITS - 1);
        let pause = MIN_PAUSE.saturating_mul(1_u32 << doublings);
        RestartStep::Restart(pause.min(MAX_PAUSE))
    }
}
