//! The program `ferry-relay`: command line, settings, signals.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use ferry_kernel::lifecycle::{HeldSignals, StopSignal, stop_signals};
use ferry_kernel::logs::LogLevel;
use ferry_kernel::settings::BAD_SETTINGS_EXIT;
use ferry_kernel::{logs, memory, metrics, panics, ticks};
use ferry_platform::host_settings::{HostSettings, HostSettingsError, SETTINGS_VARIABLE};
use miette::{IntoDiagnostic, Report, Result, miette};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

use super::relay_flags::FerryRelay;
use super::{RelayDaemon, RelayOptions};

/// Exit code after a SIGINT during the stop, as a shell reports a process that SIGINT killed.
const INTERRUPTED_EXIT: i32 = 130;
/// Period of the checks whether the settings file was modified.
const FILE_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Start parameters from the command line and the settings file.
struct StartPlan {
    path: PathBuf,
    settings: HostSettings,
    options: RelayOptions,
    level: LogLevel,
}

/// Signal handlers of the process.
struct RelaySignals {
    stops: mpsc::Receiver<StopSignal>,
    reloads: Signal,
}

/// Runs the program and exits with 0 after a graceful stop, 1 on a failure, 2 on bad settings.
pub fn main() {
    let flags = FerryRelay::from_env_or_exit();
    if flags.check_settings {
        let plan = StartPlan::read_or_exit(&flags);
        println!("{}: settings are valid", plan.path.display());
        return;
    }
    if let Err(report) = run(&flags) {
        exit_with(1, &report);
    }
}

impl StartPlan {
    fn read_or_exit(flags: &FerryRelay) -> Self {
        Self::read(flags).unwrap_or_else(|report| exit_with(BAD_SETTINGS_EXIT, &report))
    }

    fn read(flags: &FerryRelay) -> Result<Self> {
        let path = settings_path(flags)?;
        Ok(Self {
            settings: HostSettings::read(&path)?,
            path,
            options: RelayOptions {
                metrics_port: flags.metrics_port,
            },
            level: log_level(flags.log_level.as_deref())?,
        })
    }
}

impl RelaySignals {
    fn install() -> io::Result<Self> {
        Ok(Self {
            stops: stop_signals()?,
            reloads: signal(SignalKind::hangup())?,
        })
    }
}

fn settings_path(flags: &FerryRelay) -> Result<PathBuf, HostSettingsError> {
    let from_flags = flags.settings.clone();
    from_flags
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or(HostSettingsError::NoPath)
}

fn log_level(name: Option<&str>) -> Result<LogLevel> {
    match name {
        None | Some("info") => Ok(LogLevel::Info),
        Some("debug") => Ok(LogLevel::Debug),
        Some("warn") => Ok(LogLevel::Warn),
        Some("error") => Ok(LogLevel::Error),
        Some(other) => Err(miette!(
            "{other:?} is not a log level; use debug, info, warn or error"
        )),
    }
}

fn exit_with(code: i32, report: &Report) -> ! {
    eprintln!("{report:?}");
    std::process::exit(code)
}

/// Runs the relay on one thread, because a host gives it only a fraction of a core.
///
/// The signal handlers are installed first, so that a signal during the start does not kill the process.
fn run(flags: &FerryRelay) -> Result<()> {
    let held = HeldSignals::hold();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(async {
        let signals = RelaySignals::install().into_diagnostic()?;
        drop(held);
        let plan = StartPlan::read_or_exit(flags);
        metrics::install();
        logs::install_queued(plan.level).into_diagnostic()?;
        panics::report();
        memory::set_large_buffers_apart();
        serve(plan, signals).await
    })
}

async fn serve(plan: StartPlan, mut signals: RelaySignals) -> Result<()> {
    let path = &plan.path;
    let daemon = RelayDaemon::start(plan.settings, plan.options).await?;
    let mut checks = ticks::every(FILE_CHECK_PERIOD);
    let mut last_modified = modified(path);
    let mut end = Ok(());
    loop {
        tokio::select! {
            _ = signals.stops.recv() => break,
            () = daemon.failed() => {
                end = Err(miette!(help = "start it again; the log names the task", "a task could not be kept running"));
                break;
            }
            _ = signals.reloads.recv() => daemon.reload(HostSettings::read(path)),
            _ = checks.tick() => {
                let latest = modified(path);
                if latest != last_modified {
                    last_modified = latest;
                    daemon.reload(HostSettings::read(path));
                }
            }
        }
    }
    tokio::spawn(watch_signals(signals.stops));
    daemon.stop().await;
    end
}

/// Modification time of the file; `None` when it cannot be read.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

/// Handles signals during the stop: SIGINT exits at once, SIGTERM is only logged.
async fn watch_signals(mut signals: mpsc::Receiver<StopSignal>) {
    while let Some(signal) = signals.recv().await {
        match signal {
            StopSignal::Graceful => spdlog::warn!("already stopping; SIGINT twice exits at once"),
            StopSignal::Interrupt => std::process::exit(INTERRUPTED_EXIT),
        }
    }
}
