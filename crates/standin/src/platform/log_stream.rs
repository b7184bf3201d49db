//! One append-only stream of records with consecutive offsets.

use std::collections::VecDeque;

use ferry_decisions::time::UnixMillis;
use ferry_platform::log::{LogRecord, ReadAnswer};
use tokio::sync::watch;

use super::RetentionRule;

/// Maximum size of the records in one read, in bytes; the first record is returned even if it is
/// longer.
const READ_BYTES_LIMIT: usize = 16 * 1024 * 1024;

/// Records of one stream.
#[derive(Debug)]
pub(super) struct LogStream {
    /// Retained records, oldest first.
    records: VecDeque<LogRecord>,
    /// Offset of the next record; readers at the end of the stream wait for it to change.
    next: watch::Sender<u64>,
    /// Total size of the retained records, in bytes.
    bytes: usize,
}

impl Default for LogStream {
    fn default() -> Self {
        Self {
            records: VecDeque::new(),
            next: watch::Sender::new(0),
            bytes: 0,
        }
    }
}

impl LogStream {
    /// Appends a record and returns its offset.
    pub(super) fn append(&mut self, time: UnixMillis, data: String) -> u64 {
        let offset = *self.next.borrow();
        self.bytes += data.len();
        self.records.push_back(LogRecord { offset, time, data });
        self.next.send_replace(offset + 1);
        offset
    }

    /// Drops the oldest records that exceed the limits of `rule` at time `now`.
    pub(super) fn expire(&mut self, rule: &RetentionRule, now: UnixMillis) {
        while let Some(first) = self.records.front() {
            let is_retained = self.records.len() <= rule.keep_records
                && self.bytes <= rule.keep_bytes
                && now.since(first.time) <= rule.keep_ms;
            if is_retained {
                return;
            }
            self.bytes -= first.data.len();
            self.records.pop_front();
        }
    }

    /// Receiver of the offset of the next record, which changes with each append.
    pub(super) fn growth(&self) -> watch::Receiver<u64> {
        self.next.subscribe()
    }

    /// Reads at most `max` records, starting at offset `from`.
    pub(super) fn read(&self, from: u64, max: usize) -> ReadAnswer {
        let next = *self.next.borrow();
        let earliest = self.records.front().map_or(next, |first| first.offset);
        let skipped = from
            .saturating_sub(earliest)
            .try_into()
            .unwrap_or(usize::MAX);
        let mut budget = READ_BYTES_LIMIT;
        let records = self
            .records
            .iter()
            .skip(skipped)
            .take(max)
            .enumerate()
            .take_while(|(index, record)| {
                let fits = *index == 0 || record.data.len() <= budget;
                budget = budget.saturating_sub(record.data.len());
                fits
            })
            .map(|(_, record)| record.clone())
            .collect();
        ReadAnswer {
            earliest,
            next,
            records,
        }
    }
}
