//! The bills that count, read from all bill streams.

use std::collections::BTreeMap;
use std::time::Duration;

use ferry_decisions::bill::{
    BillBatch, BillDecision, BillEntry, BillFold, BillStep, LedgerReport, bill_stream,
};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_decisions::names::RequestId;
use ferry_platform::log::{LogClient, LogError, LogRecord};

/// Records that one read asks for.
const PAGE: usize = 1_000;

/// Bills that count, by request.
#[derive(Debug, Default)]
pub struct BillSheet {
    /// First bill of each request.
    pub bills: BTreeMap<RequestId, BillEntry>,
    /// Totals and anomalies as the billing clerk sees them.
    pub report: LedgerReport,
}

impl BillSheet {
    /// Reads all bill streams to their present ends.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read.
    pub async fn read(log: &LogClient) -> Result<Self, LogError> {
        let mut sheet = Self::default();
        let mut folds = Vec::new();
        for shard in 0..SHARD_COUNT {
            folds.push(sheet.read_shard(log, shard).await?);
        }
        sheet.report = LedgerReport::from_folds(&folds);
        Ok(sheet)
    }

    async fn read_shard(&mut self, log: &LogClient, shard: u16) -> Result<BillFold, LogError> {
        let mut fold = BillFold::new(shard);
        let stream = bill_stream(shard);
        loop {
            let page = log
                .read(&stream, fold.next_offset(), PAGE, Duration::ZERO)
                .await?;
            fold.skip_to(page.earliest);
            for record in &page.records {
                self.take(&mut fold, record);
            }
            if fold.next_offset() >= page.next {
                return Ok(fold);
            }
        }
    }

    /// Folds one record and keeps those of its bills that count.
    fn take(&mut self, fold: &mut BillFold, record: &LogRecord) {
        let step = fold.apply(record.offset, record.time, &record.data);
        let BillStep::Folded { decisions, .. } = step else {
            return;
        };
        let Ok(batch) = serde_json::from_str::<BillBatch>(&record.data) else {
            return;
        };
        for (bill, decision) in batch.bills.into_iter().zip(decisions) {
            if decision == BillDecision::Counted {
                self.bills.insert(bill.request.clone(), bill);
            }
        }
    }
}
