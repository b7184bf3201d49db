//! Steps of the tour, in their order.

mod bills_step;
mod cascade_step;
mod death_step;
mod refusal_step;
mod routers_step;
mod run_once_step;
mod session_step;
mod step_report;
mod streams_step;
mod withdrawal_step;

pub use step_report::StepReport;

use crate::trial_run::TrialRun;

/// One step of the tour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialStep {
    /// The routers are up.
    Routers,
    /// Answers come as streams.
    Streams,
    /// A cascade tries the cheap versions first.
    Cascade,
    /// A session keeps its version.
    Session,
    /// A withdrawal takes hold on all routers.
    Withdrawal,
    /// A refusal names its remedy.
    Refusal,
    /// A call that is not idempotent runs once.
    RunOnce,
    /// A router dies while streams run.
    RouterDeath,
    /// The bills add up.
    Bills,
}

impl TrialStep {
    /// All steps in order; later ones use what earlier ones started.
    pub const ALL: [Self; 9] = [
        Self::Routers,
        Self::Streams,
        Self::Cascade,
        Self::Session,
        Self::Withdrawal,
        Self::Refusal,
        Self::RunOnce,
        Self::RouterDeath,
        Self::Bills,
    ];

    /// Heading on the screen.
    pub fn heading(self) -> &'static str {
        match self {
            Self::Routers => "Three routers are up",
            Self::Streams => "Answers come as streams",
            Self::Cascade => "A cascade asks the small versions first",
            Self::Session => "A session keeps its version on every router",
            Self::Withdrawal => "A withdrawal takes hold on all routers",
            Self::Refusal => "A refusal names its remedy",
            Self::RunOnce => "A call that is not idempotent, sent twice, runs once",
            Self::RouterDeath => "A router is killed while streams run",
            Self::Bills => "The bills add up",
        }
    }

    /// Plays the step.
    pub async fn play(self, run: &mut TrialRun) -> StepReport {
        match self {
            Self::Routers => routers_step::play(run).await,
            Self::Streams => streams_step::play(run).await,
            Self::Cascade => cascade_step::play(run).await,
            Self::Session => session_step::play(run).await,
            Self::Withdrawal => withdrawal_step::play(run).await,
            Self::Refusal => refusal_step::play(run).await,
            Self::RunOnce => run_once_step::play(run).await,
            Self::RouterDeath => death_step::play(run).await,
            Self::Bills => bills_step::play(run).await,
        }
    }
}
