//! Each router streams an answer, and each caller gets the answer to its own request.

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult};
use futures::future::join_all;
use tokio::time::Instant;

use super::StepReport;
use crate::trial_run::TrialRun;

/// Tokens of an answer.
const TOKENS: u32 = 24;

/// Asks one question at every router at once.
pub async fn play(run: &TrialRun) -> StepReport {
    let mut report = StepReport::default();
    let questions = (0..run.deployment.routers.len()).map(|index| ask(run, index));
    for (held, seen) in join_all(questions).await {
        report.check(held, seen);
    }
    report
}

async fn ask(run: &TrialRun, index: usize) -> (bool, String) {
    let id = RequestId::generate();
    let begun = Instant::now();
    let call = ChatCall::new("assistant", &format!("Summarise file {index}")).tokens(TOKENS);
    let result = run.ask(index, &id, call).await;
    let millis = begun.elapsed().as_millis();
    let router = run.router(index);
    match result {
        ChatResult::Answered(answer) => {
            let own = answer.text.contains(&format!("request={id}"));
            let whole = answer.completion_tokens == u64::from(TOKENS);
            let start: String = answer.text.chars().take(40).collect();
            let seen = format!(
                "{router}: {}, {} tokens in {millis} ms: \"{start}...\"",
                answer.version, answer.completion_tokens
            );
            (own && whole, seen)
        }
        other => (false, format!("{router}: {other:?}")),
    }
}
