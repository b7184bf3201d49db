//! Loads the configuration from the start of the retained part of its stream.

use std::time::Duration;

use ferry_decisions::config::{ConfigFold, ConfigRecord, SnapshotRecord};
use ferry_platform::log::{LogClient, LogError, LogRecord};

use super::CONFIG_STREAM;

/// Maximum number of records requested in one read.
const READ_BATCH: usize = 1_000;

/// Why no configuration can be loaded from the stream.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A read of the log failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The oldest records have expired and no retained snapshot covers them.
    #[error(
        "the log keeps records from offset {earliest} on and no snapshot covers the earlier ones; start a router that still has the configuration, or publish it again"
    )]
    NoSnapshot {
        /// Offset of the oldest record kept.
        earliest: u64,
    },
}

/// The retained records of the stream and their fold.
#[derive(Debug)]
pub struct LoadedConfig {
    /// State after all of `records`.
    pub fold: ConfigFold,
    /// Records that the log retains, oldest first.
    pub records: Vec<LogRecord>,
}

/// Reads and folds all records that the log retains.
pub async fn load(log: &LogClient) -> Result<LoadedConfig, LoadError> {
    let (earliest, records) = read_retained(log).await?;
    let mut fold = if earliest == 0 {
        ConfigFold::new()
    } else {
        starting_fold(earliest, &records).ok_or(LoadError::NoSnapshot { earliest })?
    };
    for record in &records {
        fold.apply(record.offset, record.data.as_bytes());
    }
    Ok(LoadedConfig { fold, records })
}

async fn read_retained(log: &LogClient) -> Result<(u64, Vec<LogRecord>), LogError> {
    let mut answer = log
        .read(CONFIG_STREAM, 0, READ_BATCH, Duration::ZERO)
        .await?;
    let earliest = answer.earliest;
    let mut records = std::mem::take(&mut answer.records);
    while let Some(last) = records.last().filter(|last| last.offset + 1 < answer.next) {
        let from = last.offset + 1;
        answer = log
            .read(CONFIG_STREAM, from, READ_BATCH, Duration::ZERO)
            .await?;
        if answer.records.is_empty() || answer.earliest > from {
            break;
        }
        records.append(&mut answer.records);
    }
    Ok((earliest, records))
}

/// Fold of the first snapshot that covers every expired record.
fn starting_fold(earliest: u64, records: &[LogRecord]) -> Option<ConfigFold> {
    records
        .iter()
        .filter_map(|record| snapshot_in(&record.data))
        .filter(|snapshot| snapshot.as_of + 1 >= earliest)
        .find_map(|snapshot| ConfigFold::from_snapshot(&snapshot))
}

fn snapshot_in(data: &str) -> Option<SnapshotRecord> {
    match serde_json::from_str(data).ok()? {
        ConfigRecord::Snapshot(snapshot) => Some(snapshot),
        ConfigRecord::Change(_) | ConfigRecord::Trip(_) => None,
    }
}
