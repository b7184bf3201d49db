//! Counted bills, read from all bill streams.

use std::collections::BTreeMap;
use std::time::Duration;

use ferry_decisions::bill::{
    BillBatch, BillDecision, BillEntry, BillFold, BillStep, LedgerReport, bill_stream,
};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_decisions::names::RequestId;
use ferry_platform::log::{LogClient, LogError, LogRecord};

/// Maximum number of records per read.
const PAGE_RECORDS: usize = 1_000;

/// Bills that are counted, by request.
#[derive(Debug, Default)]
pub struct CountedBills {
    /// Counted bill of each request, which is the first one.
    pub bills: BTreeMap<RequestId, BillEntry>,
    /// Totals and anomalies as `ferry-ledger` reports them.
    pub report: LedgerReport,
}

impl CountedBills {
    /// Reads all bill streams up to their current ends.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read.
    pub async fn read(log: &LogClient) -> Result<Self, LogError> {
        let mut counted = Self::default();
        let mut folds = Vec::new();
        for shard in 0..SHARD_COUNT {
            folds.push(counted.read_shard(log, shard).await?);
        }
        counted.report = LedgerReport::from_folds(&folds);
        Ok(counted)
    }

    async fn read_shard(&mut self, log: &LogClient, shard: u16) -> Result<BillFold, LogError> {
        let mut fold = BillFold::new(shard);
        let stream = bill_stream(shard);
        loop {
            let page = log
                .read(&stream, fold.next_offset(), PAGE_RECORDS, Duration::ZERO)
                .await?;
            fold.skip_to(page.earliest);
            for record in &page.records {
                self.apply_record(&mut fold, record);
            }
            if fold.next_offset() >= page.next {
                return Ok(fold);
            }
        }
    }

    /// Folds one record and stores its bills that are counted.
    fn apply_record(&mut self, fold: &mut BillFold, record: &LogRecord) {
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
