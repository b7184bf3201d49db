//! `ferryctl watch`: follows the changes of the configuration.

use std::time::Duration;

use ferry_platform::log::LogError;
use ferry_router::config::CONFIG_STREAM;

use super::CtlError;
use super::flags::Watch;
use crate::fleet::FleetClient;

/// Maximum time for which one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Maximum number of records per read.
const READ_BATCH: usize = 100;

/// Prints each configuration record as a JSON line, up to `--count` records.
pub async fn run(fleet: &FleetClient, command: &Watch) -> Result<u8, CtlError> {
    let mut remaining = command.count.unwrap_or(u64::MAX);
    let mut next = match command.from {
        Some(offset) => offset,
        None => end_offset(fleet).await?,
    };
    while remaining > 0 {
        let answer = fleet
            .log
            .read(CONFIG_STREAM, next, READ_BATCH, READ_WAIT)
            .await
            .map_err(no_answer)?;
        for record in answer.records.iter().take(remaining as usize) {
            println!("{}", serde_json::json!(record));
            remaining -= 1;
        }
        next = answer.records.last().map_or(next, |last| last.offset + 1);
    }
    Ok(0)
}

async fn end_offset(fleet: &FleetClient) -> Result<u64, CtlError> {
    let answer = fleet.log.read(CONFIG_STREAM, u64::MAX, 1, Duration::ZERO);
    Ok(answer.await.map_err(no_answer)?.next)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a conversion in map_err"
)]
fn no_answer(error: LogError) -> CtlError {
    CtlError::NoAnswer(error.to_string())
}
