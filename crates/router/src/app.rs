//! The program `ferry-router`: command line, settings, signals.

mod flags;

use ferry_kernel::lifecycle::{HeldSignals, StopSignal, stop_signals};
use ferry_kernel::settings::BAD_SETTINGS_EXIT;
use ferry_kernel::{logs, memory, metrics, panics};
use miette::{IntoDiagnostic, Report, Result, miette};
use serde_json::json;
use tokio::sync::mpsc;

use crate::daemon::RouterDaemon;
use crate::settings::RouterSettings;

/// Exit code when SIGINT arrives during a stop.
const INTERRUPTED_EXIT: i32 = 130;

/// Runs the program and exits with 0 after a graceful stop, 1 on a failure, 2 on bad settings.
pub fn main() {
    let flags = flags::FerryRouter::from_env_or_exit();
    let settings = match RouterSettings::read(&flags.settings) {
        Ok(settings) => settings,
        Err(error) => exit_with(BAD_SETTINGS_EXIT, &error.into()),
    };
    if flags.check_settings {
        println!("{}: settings are valid", flags.settings.display());
        return;
    }
    if let Err(report) = run(settings) {
        exit_with(1, &report);
    }
}

fn exit_with(code: i32, report: &Report) -> ! {
    eprintln!("{report:?}");
    std::process::exit(code)
}

fn run(settings: RouterSettings) -> Result<()> {
    let held = HeldSignals::hold();
    logs::install(settings.log_level).into_diagnostic()?;
    metrics::install();
    panics::report();
    memory::set_large_buffers_apart();
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(serve(settings, held))
}

async fn serve(settings: RouterSettings, held: HeldSignals) -> Result<()> {
    let mut signals = stop_signals().into_diagnostic()?;
    drop(held);
    let daemon = RouterDaemon::start(settings).await?;
    print_addresses(&daemon);
    let mut end = Ok(());
    tokio::select! {
        _ = signals.recv() => {}
        () = daemon.core().supervisor.failed() => {
            end = Err(miette!(help = "start it again; the log names the task", "a task could not be kept running"));
        }
    }
    tokio::spawn(watch_signals(signals));
    daemon.stop().await;
    end
}

/// Prints the bound addresses as JSON, which shows the actual ports after a start with port 0.
fn print_addresses(daemon: &RouterDaemon) {
    let line = json!({
        "callers": daemon.callers_address(),
        "admin": daemon.admin_address(),
        "peers": daemon.peers_address(),
    });
    println!("{line}");
}

/// Handles signals during the stop: an interrupt exits at once.
async fn watch_signals(mut signals: mpsc::Receiver<StopSignal>) {
    while let Some(signal) = signals.recv().await {
        match signal {
            StopSignal::Graceful => spdlog::warn!("already stopping; send SIGINT to exit at once"),
            StopSignal::Interrupt => std::process::exit(INTERRUPTED_EXIT),
        }
    }
}
