//! Buffer of the newest configuration records, kept for routers that are behind.

use std::collections::VecDeque;

use ferry_platform::log::LogRecord;

/// Maximum number of records kept.
const RECORD_LIMIT: usize = 512;
/// Maximum size of the record data kept, in bytes; well below the limit of a frame.
const BYTE_LIMIT: usize = 1024 * 1024;

/// Records without gaps up to the newest folded record.
#[derive(Debug, Default)]
pub struct RecordRing {
    /// Offsets increase by one from record to record.
    records: VecDeque<LogRecord>,
    /// Bytes of record data in `records`.
    bytes: usize,
}

impl RecordRing {
    /// Adds the next record and evicts the oldest ones beyond the limits.
    pub fn push(&mut self, record: &LogRecord) {
        self.bytes += record.data.len();
        self.records.push_back(record.clone());
        while self.records.len() > RECORD_LIMIT || self.bytes > BYTE_LIMIT {
            let Some(evicted) = self.records.pop_front() else {
                return;
            };
            self.bytes -= evicted.data.len();
        }
    }

    /// The records from offset `from` on; `None` when the first of them is not held.
    pub fn since(&self, from: u64) -> Option<Vec<LogRecord>> {
        let first = self.records.front()?.offset;
        let skipped = usize::try_from(from.checked_sub(first)?).ok()?;
        (skipped < self.records.len()).then(|| self.records.iter().skip(skipped).cloned().collect())
    }
}
