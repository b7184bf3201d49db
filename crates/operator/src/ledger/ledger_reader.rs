//! Reads checkpoints and bill streams from the log, and writes checkpoints.

use std::time::Duration;

use ferry_decisions::bill::{BillFold, LEDGER_STREAM, LedgerCheckpoint, LedgerReport, bill_stream};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_platform::log::{LogClient, LogError, LogRecord};

use super::LedgerError;

/// Records that one read of a bill stream asks for.
const BILL_PAGE: usize = 1_000;
/// Records that one read of the checkpoint stream asks for.
const CHECKPOINT_PAGE: usize = 16;
/// Times that an append or a read is tried.
const TRIES: u32 = 20;
/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between checkpoints, so that they leave the log's rate to the routers.
const APPEND_PAUSE: Duration = Duration::from_millis(20);

/// Reader of the ledger of one platform.
#[derive(Debug)]
pub struct LedgerReader {
    log: LogClient,
    /// Fold of each shard, in the order of shards.
    folds: Vec<BillFold>,
    /// Records on the checkpoint stream that are not checkpoints.
    foreign: u64,
}

impl LedgerReader {
    /// A reader that has read nothing yet.
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

    /// Reads the checkpoints, then each bill stream up to its present end.
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
                .map_err(|source| LedgerError::Unwritten {
                    shard: fold.shard(),
                    source,
                })?;
            tokio::time::sleep(APPEND_PAUSE).await;
        }
        Ok(())
    }

    async fn read_checkpoints(&mut self) -> Result<(), LedgerError> {
        let mut next = 0;
        loop {
            let page = read_page(&self.log, LEDGER_STREAM, next, CHECKPOINT_PAGE).await?;
            for record in &page.records {
                self.take_checkpoint(record);
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

    /// Keeps the checkpoint of a shard that covers most records, and of equals the first.
    fn take_checkpoint(&mut self, record: &LogRecord) {
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

/// Folds the records of one shard up to the end that its stream has at the first read.
async fn read_shard(log: &LogClient, fold: &mut BillFold) -> Result<(), LedgerError> {
    let stream = bill_stream(fold.shard());
    let mut end = None;
    loop {
        let page = read_page(log, &stream, fold.next_offset(), BILL_PAGE).await?;
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
    let mut tries = 0;
    loop {
        tries += 1;
        match log.read(stream, from, max, Duration::ZERO).await {
            Ok(page) => return Ok(page),
            Err(source) if tries >= TRIES => {
                return Err(LedgerError::Unreadable {
                    stream: stream.to_owned(),
                    source,
                });
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Appends a checkpoint; one whose answer was lost is appended again, which does no harm.
async fn append(log: &LogClient, text: &str) -> Result<u64, LogError> {
    let mut tries = 0;
    loop {
        tries += 1;
        match log.append(LEDGER_STREAM, text.to_owned()).await {
            Ok(offset) => return Ok(offset),
            Err(error) if tries >= TRIES => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}
