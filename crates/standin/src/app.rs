//! Command line of `ferry-standin`, which runs one stand-in as a separate process.

mod standin_flags;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_kernel::lifecycle::stop_signals;
use ferry_kernel::logs::{self, LogLevel};
use miette::{IntoDiagnostic, Result};
use serde::Serialize;

use crate::platform::RetentionRule;
use crate::replica::DEFAULT_ZONE;
use crate::server::{CrashMode, StandinServer};
use crate::{
    EngineOptions, EngineStandin, PlatformOptions, PlatformStandin, ReplicaOptions, ReplicaStandin,
    ServiceOptions, ServiceStandin, StoreStandin,
};
use standin_flags::{Engine, FerryStandin, FerryStandinCmd, Platform, Replica, Service};

/// Concurrent requests of an upstream when `--slots` is not given.
const DEFAULT_SLOTS: u32 = 8;

/// JSON line printed to standard output once the stand-in accepts connections.
#[derive(Debug, Serialize)]
struct ListenLine {
    listening: SocketAddr,
    control: SocketAddr,
}

/// Runs the stand-in named on the command line until the process receives a stop signal.
///
/// # Errors
///
/// Fails when the log, the runtime or the signal handlers cannot be set up, or the stand-in cannot
/// start.
pub fn main() -> Result<()> {
    let flags = FerryStandin::from_env_or_exit();
    logs::install(LogLevel::Info).into_diagnostic()?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .into_diagnostic()?
        .block_on(run(flags.subcommand))
}

async fn run(command: FerryStandinCmd) -> Result<()> {
    let mut signals = stop_signals().into_diagnostic()?;
    match command {
        FerryStandinCmd::Platform(flags) => {
            let standin = PlatformStandin::start(platform_options(&flags))
                .await
                .into_diagnostic()?;
            print_addresses(&standin)?;
            signals.recv().await;
            standin.stop().await;
        }
        FerryStandinCmd::Engine(flags) => {
            let standin = EngineStandin::start(engine_options(&flags))
                .await
                .into_diagnostic()?;
            print_addresses(&standin)?;
            signals.recv().await;
            standin.stop().await;
        }
        FerryStandinCmd::Service(flags) => {
            let standin = ServiceStandin::start(service_options(&flags))
                .await
                .into_diagnostic()?;
            print_addresses(&standin)?;
            signals.recv().await;
            standin.stop().await;
        }
        FerryStandinCmd::Store(flags) => {
            let standin = StoreStandin::start(flags.listen).await.into_diagnostic()?;
            print_addresses(&standin)?;
            signals.recv().await;
            standin.stop().await;
        }
        FerryStandinCmd::Replica(flags) => {
            let standin = ReplicaStandin::start(flags.listen, replica_options(&flags))
                .await
                .into_diagnostic()?;
            print_addresses(&standin)?;
            tokio::select! {
                _ = signals.recv() => {}
                () = standin.keep_registered(flags.store) => {}
            }
            standin.leave(flags.store).await;
            standin.stop().await;
        }
    }
    Ok(())
}

fn print_addresses(server: &StandinServer) -> Result<()> {
    let line = ListenLine {
        listening: server.address(),
        control: server.control_address(),
    };
    println!("{}", serde_json::to_string(&line).into_diagnostic()?);
    Ok(())
}

fn platform_options(flags: &Platform) -> PlatformOptions {
    let base = PlatformOptions::default();
    let retention = RetentionRule {
        keep_records: flags.keep_records.unwrap_or(base.retention.keep_records),
        keep_ms: flags.keep_ms.unwrap_or(base.retention.keep_ms),
        ..base.retention
    };
    PlatformOptions {
        listen: flags.listen,
        appends_per_second: flags.appends_per_second.unwrap_or(base.appends_per_second),
        retention,
        hosts_lag: millis_or(flags.hosts_lag_ms, base.hosts_lag),
        ratings_lag: millis_or(flags.ratings_lag_ms, base.ratings_lag),
    }
}

fn engine_options(flags: &Engine) -> EngineOptions {
    let base = EngineOptions::default();
    EngineOptions {
        listen: flags.listen,
        platform: flags.platform.clone(),
        name: flags.name.as_str().into(),
        zone: flags.zone.as_str().into(),
        versions: flags
            .version
            .iter()
            .map(|text| text.as_str().into())
            .collect(),
        step: flags.step_ms.map_or(base.step, |ms| {
            Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
        }),
        batch_limit: flags.batch.unwrap_or(base.batch_limit),
        queue_limit: flags.queue.unwrap_or(base.queue_limit),
        prefill_tokens: flags.prefill_tokens.unwrap_or(base.prefill_tokens),
        cache_blocks: flags.cache_blocks.unwrap_or(base.cache_blocks),
        load_lag: millis_or(flags.load_lag_ms, base.load_lag),
        default_tokens: flags.tokens.unwrap_or(base.default_tokens),
        crash_mode: CrashMode::Exit,
    }
}

fn service_options(flags: &Service) -> ServiceOptions {
    let base = ServiceOptions::default();
    ServiceOptions {
        listen: flags.listen,
        platform: flags.platform.clone(),
        name: flags.name.as_str().into(),
        zone: flags.zone.as_str().into(),
        service: flags.service.as_str().into(),
        duration: millis_or(flags.duration_ms, base.duration),
        call_limit: flags.calls.unwrap_or(base.call_limit),
        load_lag: millis_or(flags.load_lag_ms, base.load_lag),
        crash_mode: CrashMode::Exit,
    }
}

fn replica_options(flags: &Replica) -> ReplicaOptions {
    ReplicaOptions {
        id: flags.id.clone(),
        service: flags.service.clone(),
        zone: flags.zone.clone().unwrap_or(DEFAULT_ZONE.to_owned()),
        version: flags.version.clone(),
        slots: flags.slots.unwrap_or(DEFAULT_SLOTS),
    }
}

fn millis_or(ms: Option<u64>, default: Duration) -> Duration {
    ms.map_or(default, Duration::from_millis)
}
