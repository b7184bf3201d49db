//! The program `ferry-ledger`: prints the totals of each workspace and the anomalies, from the bill
//! streams.
//!
//! Exit codes: 0 no anomalies that need attention; 1 anomalies that billing staff should look at;
//! 2 invalid arguments; 3 the log service could not be read or did not confirm a checkpoint, so
//! that nothing was printed or the checkpoints are incomplete.

mod ledger_flags;

use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use ferry_decisions::bill::LedgerReport;
use ferry_platform::log::LogClient;

use self::ledger_flags::LedgerFlags;
use crate::ledger::{LedgerError, LedgerReader, render_table};

/// Exit code when billing staff should look at anomalies.
const ANOMALIES_EXIT: u8 = 1;
/// Exit code when the log service of the platform does not answer.
const PLATFORM_EXIT: u8 = 3;
/// Time limit for one append to the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the program with the process's arguments.
pub fn main() -> ExitCode {
    let flags = LedgerFlags::from_env_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!(
                "cannot start the async runtime: {error}; check the process limits of this user"
            );
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

/// Prints the report; write errors, for example on a closed pipe, are ignored.
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
