//! Three routers answer their admin ports, admit work and know all upstreams.

use super::StepReport;
use crate::trial_run::TrialRun;

/// Shows where the routers are and what they know.
pub async fn play(run: &TrialRun) -> StepReport {
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
        let seen = format!(
            "{} in {}: callers {}, admin {}, {} upstreams",
            router.host,
            router.zone,
            router.callers,
            router.admin,
            known.unwrap_or_default()
        );
        report.check(ready, seen);
    }
    report
}
