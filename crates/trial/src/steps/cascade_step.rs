//! A cascade answers an easy question on a small version and a hard one on the large version.

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult};
use serde_json::Value;

use super::StepReport;
use crate::deployment::HARD_PROMPT;
use crate::trial_run::TrialRun;

/// Asks an easy and a hard question.
pub async fn play(run: &TrialRun) -> StepReport {
    let mut report = StepReport::default();
    ask(run, &mut report, "an easy question", "small").await;
    ask(
        run,
        &mut report,
        &format!("a {HARD_PROMPT} question"),
        "large",
    )
    .await;
    report
}

async fn ask(run: &TrialRun, report: &mut StepReport, question: &str, size: &str) {
    let id = RequestId::generate();
    match run.ask(0, &id, ChatCall::new("triage", question)).await {
        ChatResult::Answered(answer) => {
            let scores = scores(run, &id).await;
            let seen = format!("{question}: {scores}answered by {}", answer.version);
            report.check(answer.version.starts_with(size), seen);
        }
        other => report.check(false, format!("{question}: {other:?}")),
    }
}

/// The ratings that the router's trail of the request shows.
async fn scores(run: &TrialRun, id: &RequestId) -> String {
    let trails = run.deployment.fleet.traces(id.as_str()).await;
    let attempts = trails
        .first()
        .and_then(|(_, trail)| trail["attempts"].as_array());
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
