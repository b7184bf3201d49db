//! The operator withdraws the version of the session, and no router uses that version afterwards.

use std::collections::BTreeMap;
use std::time::Duration;

use ferry_decisions::config::{ObjectKey, ObjectKind, ObjectSpec, VersionPhase};
use ferry_decisions::lease::PropagationStage;
use ferry_operator::publish::ChangeProgress;
use ferry_rig::{ChatCall, ChatResult};
use tokio::time::Instant;

use super::StepReport;
use crate::deployment::TrialError;
use crate::trial_run::TrialRun;

/// Number of requests sent to each router after the withdrawal.
const CALLS_PER_ROUTER: usize = 6;

/// Withdraws the version, measures the time until the change is in force, and sends more requests.
pub async fn execute(run: &TrialRun) -> StepReport {
    let Some(session) = &run.session else {
        return StepReport::failed("no session was started, so there is no version to withdraw");
    };
    let mut report = StepReport::default();
    match withdraw(run, &session.version).await {
        Ok((progress, elapsed)) => {
            let finding = format!(
                "{} withdrawn in log record {}; in force on {} after {} ms",
                session.version,
                progress.offset,
                progress.confirmed.join(", "),
                elapsed.as_millis()
            );
            let everywhere = progress.confirmed.len() == run.deployment.routers.len();
            report.check(
                everywhere && progress.stage == PropagationStage::InForce,
                finding,
            );
        }
        Err(error) => return StepReport::failed(error.to_string()),
    }
    let versions = send_to_all_routers(run).await;
    let answered: usize = versions.values().sum();
    let expected = CALLS_PER_ROUTER * run.deployment.routers.len();
    let passed = answered == expected && !versions.contains_key(&session.version);
    let counts: Vec<_> = versions
        .iter()
        .map(|(name, count)| format!("{count} by {name}"))
        .collect();
    report.check(
        passed,
        format!("{expected} requests sent afterwards: {}", counts.join(", ")),
    );
    report
}

async fn withdraw(run: &TrialRun, version: &str) -> Result<(ChangeProgress, Duration), TrialError> {
    let key = ObjectKey::new(ObjectKind::Version, version);
    let known = run.deployment.fleet.newest_config().await?;
    let spec = known
        .as_ref()
        .and_then(|known| known.state.spec(&key))
        .cloned();
    let changes = match spec {
        Some(ObjectSpec::Version(mut spec)) => {
            spec.phase = VersionPhase::Withdrawn;
            vec![(key, ObjectSpec::Version(spec))]
        }
        _ => Vec::new(),
    };
    let started_at = Instant::now();
    let progress = run.deployment.publish(changes, |_| {}).await?;
    Ok((progress, started_at.elapsed()))
}

/// Sends several requests to each router; returns the number of answers by version, and of other results by kind.
async fn send_to_all_routers(run: &TrialRun) -> BTreeMap<String, usize> {
    let mut versions = BTreeMap::new();
    for index in 0..run.deployment.routers.len() {
        for number in 0..CALLS_PER_ROUTER {
            let call = ChatCall::new("assistant", &format!("Letter {number}"));
            let name = match run.send_new(index, call).await {
                ChatResult::Answered(answer) => answer.version,
                ChatResult::Refused(refusal) => refusal.kind().to_owned(),
                ChatResult::Broken(reason) => reason,
            };
            *versions.entry(name).or_default() += 1;
        }
    }
    versions
}
