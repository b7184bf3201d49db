//! A session that starts on one router continues on the others, with the same version.

use ferry_rig::{ChatCall, ChatResult};

use super::StepReport;
use crate::trial_run::{TrialRun, TrialSession};

/// Header that carries the session token, or `new` to start a session.
pub const SESSION_HEADER: &str = "ferry-session";

/// Starts a session on the first router and continues it on all routers.
pub async fn execute(run: &mut TrialRun) -> StepReport {
    let mut report = StepReport::default();
    let first = ChatCall::new("assistant", "First").header(SESSION_HEADER, "new");
    let session = match run.send_new(0, first).await {
        ChatResult::Answered(answer) => answer.session.map(|token| TrialSession {
            token,
            version: answer.version,
        }),
        other => return StepReport::failed(format!("{other:?}")),
    };
    let Some(session) = session else {
        return StepReport::failed("the answer carries no session token");
    };
    let finding = format!("started at {} on {}", run.router(0), session.version);
    report.check(true, finding);
    for index in 0..run.deployment.routers.len() {
        let next = ChatCall::new("assistant", "Next").header(SESSION_HEADER, &session.token);
        let router = run.router(index);
        match run.send_new(index, next).await {
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
