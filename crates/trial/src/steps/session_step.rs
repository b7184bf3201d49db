//! A session that starts on one router goes on at the others, on the same version.

use ferry_rig::{ChatCall, ChatResult};

use super::StepReport;
use crate::trial_run::{TrialRun, TrialSession};

/// Header with the session token.
pub const SESSION_HEADER: &str = "ferry-session";

/// Starts a session at the first router and continues it at all of them.
pub async fn play(run: &mut TrialRun) -> StepReport {
    let mut report = StepReport::default();
    let first = ChatCall::new("assistant", "First").header(SESSION_HEADER, "new");
    let session = match run.ask_new(0, first).await {
        ChatResult::Answered(answer) => answer.session.map(|token| TrialSession {
            token,
            version: answer.version,
        }),
        other => return StepReport::failed(format!("{other:?}")),
    };
    let Some(session) = session else {
        return StepReport::failed("the answer carries no session token");
    };
    let seen = format!("started at {} on {}", run.router(0), session.version);
    report.check(true, seen);
    for index in 0..run.deployment.routers.len() {
        let next = ChatCall::new("assistant", "Next").header(SESSION_HEADER, &session.token);
        let router = run.router(index);
        match run.ask_new(index, next).await {
            ChatResult::Answered(answer) => {
                let same = answer.version == session.version;
                report.check(same, format!("continued at {router} on {}", answer.version));
            }
            other => report.check(false, format!("{router}: {other:?}")),
        }
    }
    run.session = Some(session);
    report
}
