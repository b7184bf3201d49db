//! `ferryctl watch`: follows the changes of the configuration.

use std::time::Duration;

use ferry_platform::log::LogError;
use ferry_router::config::CONFIG_STREAM;

use super::CtlError;
use super::flags::Watch;
use crate::fleet::FleetClient;

/// Longest time that one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Records asked for in one read.
const READ_BATCH: usize = 100;

/// Prints each record as a JSON line.
pub async fn run(fleet: &FleetClient, command: &Watch) -> Result<u8, CtlError> {
    let mut left = command.count.unwrap_or(u64::MAX);
    let mut next = match command.from {
        Some(offset) => offset,
        None => end(fleet).await?,
    };
    while left > 0 {
        let answer = fleet
            .log
            .read(CONFIG_STREAM, next, READ_BATCH, READ_WAIT)
            .await
            .map_err(no_answer)?;
        for record in answer.records.iter().take(left as usize) {
            println!("{}", serde_json::json!(record));
            left -= 1;
        }
        next = answer.records.last().map_or(next, |last| last.offset + 1);
    }
    Ok(0)
}

async fn end(fleet: &FleetClient) -> Result<u64, CtlError> {
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
