//! Each router streams an answer, and each caller receives the answer to its own request.

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult};
use futures::future::join_all;
use tokio::time::Instant;

use super::StepReport;
use crate::trial_run::TrialRun;

/// Completion tokens requested per answer.
const TOKENS: u32 = 24;

/// Sends one request to every router at the same time.
pub async fn execute(run: &TrialRun) -> StepReport {
    let mut report = StepReport::default();
    let calls = (0..run.deployment.routers.len()).map(|index| check_stream(run, index));
    for (passed, finding) in join_all(calls).await {
        report.check(passed, finding);
    }
    report
}

async fn check_stream(run: &TrialRun, index: usize) -> (bool, String) {
    let id = RequestId::generate();
    let started_at = Instant::now();
    let call = ChatCall::new("assistant", &format!("Summarise file {index}")).tokens(TOKENS);
    let result = run.send(index, &id, call).await;
    let millis = started_at.elapsed().as_millis();
    let router = run.router(index);
    match result {
        ChatResult::Answered(answer) => {
            let own = answer.text.contains(&format!("request={id}"));
            let complete = answer.completion_tokens == u64::from(TOKENS);
            let start: String = answer.text.chars().take(40).collect();
            let finding = format!(
                "{router}: {}, {} tokens in {millis} ms: \"{start}...\"",
                answer.version, answer.completion_tokens
            );
            (own && complete, finding)
        }
        other => (false, format!("{router}: {other:?}")),
    }
}
