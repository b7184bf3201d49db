//! A request of the session on the withdrawn version is refused, with a remedy.

use ferry_rig::{ChatCall, ChatResult};

use super::StepReport;
use super::session_step::SESSION_HEADER;
use crate::trial_run::TrialRun;

/// Kind of the expected refusal.
const EXPECTED_KIND: &str = "session_version_withdrawn";

/// Sends one more request of the session and checks its refusal.
pub async fn execute(run: &TrialRun) -> StepReport {
    let Some(session) = &run.session else {
        return StepReport::failed("no session was started");
    };
    let next = ChatCall::new("assistant", "Next").header(SESSION_HEADER, &session.token);
    let mut report = StepReport::default();
    match run.send_new(1, next).await {
        ChatResult::Refused(refusal) => {
            let finding = format!(
                "status {}, kind {}, run \"{}\"",
                refusal.status,
                refusal.kind(),
                refusal.run
            );
            report.check(
                refusal.kind() == EXPECTED_KIND && refusal.run == "not_run",
                finding,
            );
            report.check(
                !refusal.detail.is_empty(),
                format!("\"{}\"", refusal.detail),
            );
        }
        other => report.check(false, format!("{other:?}")),
    }
    report
}
