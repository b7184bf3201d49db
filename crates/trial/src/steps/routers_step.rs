//! Three routers answer on their admin ports, admit requests and know all upstreams.

use super::StepReport;
use crate::trial_run::TrialRun;

/// Prints the addresses of the routers and the number of upstreams that each one knows.
pub async fn execute(run: &TrialRun) -> StepReport {
    let mut report = StepReport::default();
    let upstreams = run.deployment.upstreams();
    let statuses = run.deployment.fleet.statuses().await;
    for (router, answer) in run.deployment.routers.iter().zip(statuses) {
        let status = match answer.answer {
            Ok(status) => status,
            Err(error) => {
                report.check(false, format!("{}: {error}", answer.host));
                continue;
            }
        };
        let known = status.plugins["host_list"]["upstreams"].as_u64();
        let ready = status.lease_problem.is_none() && known == Some(upstreams as u64);
        let finding = format!(
            "{} in {}: callers {}, admin {}, {} upstreams",
            router.host,
            router.zone,
            router.callers,
            router.admin,
            known.unwrap_or_default()
        );
        report.check(ready, finding);
    }
    report
}
