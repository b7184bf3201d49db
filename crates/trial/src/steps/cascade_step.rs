//! A cascade answers an easy prompt with a small version and a hard prompt with the large version.

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult};
use serde_json::Value;

use super::StepReport;
use crate::deployment::HARD_PROMPT;
use crate::trial_run::TrialRun;

/// Sends an easy and a hard prompt.
pub async fn execute(run: &TrialRun) -> StepReport {
    let mut report = StepReport::default();
    check_prompt(run, &mut report, "an easy question", "small").await;
    check_prompt(
        run,
        &mut report,
        &format!("a {HARD_PROMPT} question"),
        "large",
    )
    .await;
    report
}

async fn check_prompt(run: &TrialRun, report: &mut StepReport, prompt: &str, size: &str) {
    let id = RequestId::generate();
    match run.send(0, &id, ChatCall::new("triage", prompt)).await {
        ChatResult::Answered(answer) => {
            let scores = scores(run, &id).await;
            let finding = format!("{prompt}: {scores}answered by {}", answer.version);
            report.check(answer.version.starts_with(size), finding);
        }
        other => report.check(false, format!("{prompt}: {other:?}")),
    }
}

/// Returns the ratings in the router's decision trace of the request, as text.
async fn scores(run: &TrialRun, id: &RequestId) -> String {
    let traces = run.deployment.fleet.traces(id.as_str()).await;
    let attempts = traces
        .first()
        .and_then(|(_, trace)| trace["attempts"].as_array());
    let attempts = attempts.into_iter().flatten();
    attempts.filter_map(score).collect()
}

fn score(attempt: &Value) -> Option<String> {
    let result = &attempt["result"];
    let score = result["score"].as_f64()?;
    let kept = if result["accepted"] == true {
        "kept"
    } else {
        "not kept"
    };
    let version = attempt["version"].as_str()?;
    Some(format!("{version} rated {score} and {kept}, "))
}
