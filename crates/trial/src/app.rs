//! The program `ferry-trial`: runs the tour, and keeps the deployment running on request.

mod trial_flags;

use std::process::ExitCode;

use ferry_kernel::lifecycle::{StopSignal, stop_signals};
use ferry_kernel::{logs, metrics};
use miette::{IntoDiagnostic, Result};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::deployment::{TRIAL_KEY, TrialDeployment};
use crate::steps::TrialStep;
use crate::trial_run::TrialRun;
use trial_flags::FerryTrial;

/// Exit code after a second SIGINT.
const INTERRUPTED_EXIT: i32 = 130;

/// Runs the program; the exit code is 0 if every step passed, else 1.
///
/// # Errors
///
/// Fails when the deployment does not start.
pub fn main() -> Result<ExitCode> {
    let flags = FerryTrial::from_env_or_exit();
    logs::install(logs::LogLevel::Error).into_diagnostic()?;
    metrics::install();
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(run_tour(flags.keep))
}

async fn run_tour(keep: bool) -> Result<ExitCode> {
    let mut signals = stop_signals().into_diagnostic()?;
    let started_at = Instant::now();
    println!("chestnutferry: a tour of a deployment on loopback addresses\n");
    let mut run = TrialRun::new(TrialDeployment::start().await?);
    let passed = run_steps(&mut run).await;
    let steps = TrialStep::ALL.len();
    let seconds = started_at.elapsed().as_secs_f64();
    println!("\n{passed} of {steps} steps held, after {seconds:.1} s");
    if keep {
        keep_running(&run.deployment, &mut signals).await;
    }
    tokio::spawn(exit_on_interrupt(signals));
    run.deployment.stop().await;
    Ok(ExitCode::from(u8::from(passed != steps)))
}

/// Runs all steps and prints their reports; returns how many passed.
async fn run_steps(run: &mut TrialRun) -> usize {
    let mut passed = 0;
    for (index, step) in TrialStep::ALL.into_iter().enumerate() {
        println!("{}. {}", index + 1, step.heading());
        let report = step.execute(run).await;
        print!("{report}");
        passed += usize::from(report.has_passed());
    }
    passed
}

async fn keep_running(deployment: &TrialDeployment, signals: &mut mpsc::Receiver<StopSignal>) {
    println!("\nThe deployment stays up. Send it a request of your own:\n");
    println!("{}", curl_line(deployment));
    println!("\nPress Ctrl-C to stop it.");
    signals.recv().await;
    println!("Stopping: requests in progress are finished first. Ctrl-C again ends at once.");
}

fn curl_line(deployment: &TrialDeployment) -> String {
    let address = deployment.routers[0].callers;
    let body =
        r#"{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Hello"}]}"#;
    format!(
        "curl -sN http://{address}/v1/chat/completions -H 'Authorization: Bearer {TRIAL_KEY}' -d '{body}'"
    )
}

async fn exit_on_interrupt(mut signals: mpsc::Receiver<StopSignal>) {
    while let Some(signal) = signals.recv().await {
        if signal == StopSignal::Interrupt {
            std::process::exit(INTERRUPTED_EXIT);
        }
    }
}
