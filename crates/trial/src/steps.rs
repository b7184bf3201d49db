//! Steps of the tour.

mod bills_step;
mod cascade_step;
mod refusal_step;
mod router_kill_step;
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
    /// The routers are ready and know all upstreams.
    Routers,
    /// Each router streams answers.
    Streams,
    /// A cascade tries the cheaper versions first.
    Cascade,
    /// A session keeps its version on every router.
    Session,
    /// The withdrawal of a version is in force on all routers.
    Withdrawal,
    /// A refusal describes its remedy.
    Refusal,
    /// A call that is not idempotent is sent twice and runs once.
    RunOnce,
    /// A router is killed while streams run.
    RouterKill,
    /// The bills match the answers.
    Bills,
}

impl TrialStep {
    /// All steps in order; later steps depend on the state that earlier steps leave.
    pub const ALL: [Self; 9] = [
        Self::Routers,
        Self::Streams,
        Self::Cascade,
        Self::Session,
        Self::Withdrawal,
        Self::Refusal,
        Self::RunOnce,
        Self::RouterKill,
        Self::Bills,
    ];

    /// Heading that is printed before the step.
    pub fn heading(self) -> &'static str {
        match self {
            Self::Routers => "Three routers are up",
            Self::Streams => "Answers come as streams",
            Self::Cascade => "A cascade asks the small versions first",
            Self::Session => "A session keeps its version on every router",
            Self::Withdrawal => "A withdrawal takes hold on all routers",
            Self::Refusal => "A refusal names its remedy",
            Self::RunOnce => "A call that is not idempotent, sent twice, runs once",
            Self::RouterKill => "A router is killed while streams run",
            Self::Bills => "The bills add up",
        }
    }

    /// Runs the step.
    pub async fn execute(self, run: &mut TrialRun) -> StepReport {
        match self {
            Self::Routers => routers_step::execute(run).await,
            Self::Streams => streams_step::execute(run).await,
            Self::Cascade => cascade_step::execute(run).await,
            Self::Session => session_step::execute(run).await,
            Self::Withdrawal => withdrawal_step::execute(run).await,
            Self::Refusal => refusal_step::execute(run).await,
            Self::RunOnce => run_once_step::execute(run).await,
            Self::RouterKill => router_kill_step::execute(run).await,
            Self::Bills => bills_step::execute(run).await,
        }
    }
}
