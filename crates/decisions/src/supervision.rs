//! When a background task that ended is started again.

mod restart_pace;

pub use restart_pace::{RestartPace, RestartStep, TaskDuty, TaskWeight};
