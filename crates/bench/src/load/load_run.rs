//! Runs a load file: each step is sent directly to the engines if `baseline` is set, then to the
//! routers.

use super::load_deployment::{LoadDeployment, ROUTER_NAME_PREFIX};
use super::load_report::{StepResult, report};
use super::load_step::LoadStep;
use super::process_usage::UsageSource;
use super::{LoadError, LoadExperiment};
use crate::report::ExperimentReport;

/// Runs all steps of `experiment`.
///
/// # Errors
///
/// Fails when a component of the deployment does not start or the routers do not become ready.
pub async fn run(experiment: &LoadExperiment) -> Result<ExperimentReport, LoadError> {
    let deployment = LoadDeployment::start(experiment).await?;
    let mut steps = Vec::new();
    for rate in &experiment.steps {
        let direct = match direct_step(experiment, &deployment, *rate) {
            Some(step) => Some(step.run(experiment).await),
            None => None,
        };
        let routed = routed_step(experiment, &deployment, *rate);
        steps.push(StepResult {
            rate: *rate,
            direct,
            routed: routed.run(experiment).await,
        });
    }
    deployment.stop().await;
    Ok(report(experiment, &steps))
}

fn direct_step(
    experiment: &LoadExperiment,
    deployment: &LoadDeployment,
    rate: f64,
) -> Option<LoadStep> {
    let (targets, version) = deployment.engines();
    (experiment.baseline && !targets.is_empty()).then(|| LoadStep {
        rate,
        targets,
        model: Some(version),
        usage: usage(experiment),
    })
}

fn routed_step(experiment: &LoadExperiment, deployment: &LoadDeployment, rate: f64) -> LoadStep {
    LoadStep {
        rate,
        targets: deployment.targets(),
        model: None,
        usage: usage(experiment),
    }
}

fn usage(experiment: &LoadExperiment) -> UsageSource {
    if experiment.pids.is_empty() {
        UsageSource::Threads(ROUTER_NAME_PREFIX)
    } else {
        UsageSource::Processes(experiment.pids.clone())
    }
}
