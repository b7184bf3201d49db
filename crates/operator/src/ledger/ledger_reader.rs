//! Reads checkpoints and bill streams from the log, and writes checkpoints.

use std::time::Duration;

use ferry_decisions::bill::{BillFold, LEDGER_STREAM, LedgerCheckpoint, LedgerReport, bill_stream};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_platform::log::{LogClient, LogError, LogRecord};

use super::LedgerError;

/// Maximum number of records per read of a bill stream.
const BILL_PAGE_SIZE: usize = 1_000;
/// Maximum number of records per read of the checkpoint stream.
const CHECKPOINT_PAGE_SIZE: usize = 16;
/// Maximum number of attempts per append or read.
const MAX_ATTEMPTS: u32 = 20;
/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between appends of checkpoints, so that the log's append rate remains available to the routers.
const APPEND_INTERVAL: Duration = Duration::from_millis(20);

/// Reader of the ledger of one platform.
#[derive(Debug)]
pub struct LedgerReader {
    log: LogClient,
    /// Fold of each shard, indexed by shard number.
    folds: Vec<BillFold>,
    /// Records on the checkpoint stream that are not checkpoints.
    foreign: u64,
}

impl LedgerReader {
    /// Creates a reader that has read nothing yet.
    pub fn new(log: LogClient) -> Self {
        Self {
            log,
            folds: (0..SHARD_COUNT).map(BillFold::new).collect(),
            foreign: 0,
        }
    }

    /// Number of records on the checkpoint stream that are not checkpoints.
    pub fn foreign_checkpoints(&self) -> u64 {
        self.foreign
    }

    /// Reads the checkpoints, then each bill stream up to its current end.
    ///
    /// # Errors
    ///
    /// Fails when a stream cannot be read to its end.
    pub async fn read(&mut self) -> Result<LedgerReport, LedgerError> {
        self.read_checkpoints().await?;
        for fold in &mut self.folds {
            read_shard(&self.log, fold).await?;
        }
        Ok(LedgerReport::from_folds(&self.folds))
    }

    /// Writes a checkpoint of each shard that has bills.
    ///
    /// # Errors
    ///
    /// Fails when the log does not confirm one.
    pub async fn write_checkpoints(&self) -> Result<(), LedgerError> {
        for fold in self.folds.iter().filter(|fold| fold.next_offset() > 0) {
            let text = serde_json::to_string(&fold.checkpoint()).unwrap_or_default();
            append(&self.log, &text)
                .await
                .map_err(|source| LedgerError::Unconfirmed {
                    shard: fold.shard(),
                    source,
                })?;
            tokio::time::sleep(APPEND_INTERVAL).await;
        }
        Ok(())
    }

    async fn read_checkpoints(&mut self) -> Result<(), LedgerError> {
        let mut next = 0;
        loop {
            let page = read_page(&self.log, LEDGER_STREAM, next, CHECKPOINT_PAGE_SIZE).await?;
            for record in &page.records {
                self.apply_checkpoint(record);
            }
            next = page
                .records
                .last()
                .map_or(page.next, |last| last.offset + 1);
            if next >= page.next {
                return Ok(());
            }
        }
    }

    /// Applies a checkpoint if it covers more records of its shard than the fold does. Of equal
    /// checkpoints the first is kept.
    fn apply_checkpoint(&mut self, record: &LogRecord) {
        let Ok(checkpoint) = serde_json::from_str::<LedgerCheckpoint>(&record.data) else {
            self.foreign += 1;
            return;
        };
        let Some(fold) = self.folds.get_mut(usize::from(checkpoint.shard)) else {
            self.foreign += 1;
            return;
        };
        if checkpoint.next > fold.next_offset() {
            *fold = BillFold::from_checkpoint(checkpoint);
        }
    }
}

/// Folds the records of one shard up to the end of its stream as of the first read.
async fn read_shard(log: &LogClient, fold: &mut BillFold) -> Result<(), LedgerError> {
    let stream = bill_stream(fold.shard());
    let mut end = None;
    loop {
        let page = read_page(log, &stream, fold.next_offset(), BILL_PAGE_SIZE).await?;
        let end = *end.get_or_insert(page.next);
        fold.skip_to(page.earliest);
        for record in page.records.iter().filter(|record| record.offset < end) {
            fold.apply(record.offset, record.time, &record.data);
        }
        if fold.next_offset() >= end {
            return Ok(());
        }
    }
}

async fn read_page(
    log: &LogClient,
    stream: &str,
    from: u64,
    max: usize,
) -> Result<ferry_platform::log::ReadAnswer, LedgerError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match log.read(stream, from, max, Duration::ZERO).await {
            Ok(page) => return Ok(page),
            Err(source) if attempts >= MAX_ATTEMPTS => {
                return Err(LedgerError::Unreadable {
                    stream: stream.to_owned(),
                    source,
                });
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Appends a checkpoint. It is appended again when the answer is lost; duplicates are harmless.
async fn append(log: &LogClient, text: &str) -> Result<u64, LogError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match log.append(LEDGER_STREAM, text.to_owned()).await {
            Ok(offset) => return Ok(offset),
            Err(error) if attempts >= MAX_ATTEMPTS => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
