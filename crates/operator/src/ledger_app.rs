//! `ferry-ledger`: totals of each workspace and anomalies, from the bill streams.
//!
//! Exit codes: 0 nothing to look at; 1 anomalies that a clerk should look at; 2 wrong arguments;
//! 3 the log service was not read or did not confirm a checkpoint, and nothing was printed or the
//! checkpoint is incomplete.

mod ledger_flags;

use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use ferry_decisions::bill::LedgerReport;
use ferry_platform::log::LogClient;

use self::ledger_flags::LedgerFlags;
use crate::ledger::{LedgerError, LedgerReader, render_table};

/// Exit code when a clerk should look at anomalies.
const ANOMALIES_EXIT: u8 = 1;
/// Exit code when the platform does not answer.
const PLATFORM_EXIT: u8 = 3;
/// Time allowed for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the tool with the process's arguments.
pub fn main() -> ExitCode {
    let flags = LedgerFlags::from_env_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime cannot start: {error}; check the limits of this user");
            return ExitCode::from(PLATFORM_EXIT);
        }
    };
    match runtime.block_on(run(&flags)) {
        Ok(report) if report.counts.need_attention() => ExitCode::from(ANOMALIES_EXIT),
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(PLATFORM_EXIT)
        }
    }
}

async fn run(flags: &LedgerFlags) -> Result<LedgerReport, LedgerError> {
    let log = LogClient::new(&flags.platform, APPEND_TIMEOUT);
    let mut reader = LedgerReader::new(log);
    let report = reader.read().await?;
    print_report(&report, flags.json);
    if reader.foreign_checkpoints() > 0 {
        eprintln!(
            "{} records on the stream \"ledger\" are not checkpoints and were skipped",
            reader.foreign_checkpoints()
        );
    }
    if flags.checkpoint {
        reader.write_checkpoints().await?;
    }
    Ok(report)
}

/// Prints the report; a closed pipe ends the output silently.
fn print_report(report: &LedgerReport, json: bool) {
    let text = if json {
        format!(
            "{}\n",
            serde_json::to_string_pretty(report).unwrap_or_default()
        )
    } else {
        render_table(report)
    };
    let _ = std::io::stdout().write_all(text.as_bytes());
}
