//! One append-only stream with dense offsets.

use std::collections::VecDeque;

use ferry_decisions::time::UnixMillis;
use ferry_platform::log::{LogRecord, ReadAnswer};
use tokio::sync::watch;

use super::RetentionRule;

/// Bytes of records in one read; a single longer record is still returned.
const READ_BYTES: usize = 16 * 1024 * 1024;

/// Records of one stream, the oldest first.
#[derive(Debug)]
pub(super) struct LogStream {
    records: VecDeque<LogRecord>,
    /// Offset of the next record, which readers at the end wait for.
    next: watch::Sender<u64>,
    /// Bytes of all records kept.
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
    /// Appends `data` and returns its offset.
    pub(super) fn append(&mut self, time: UnixMillis, data: String) -> u64 {
        let offset = *self.next.borrow();
        self.bytes += data.len();
        self.records.push_back(LogRecord { offset, time, data });
        self.next.send_replace(offset + 1);
        offset
    }

    /// Drops the records that `rule` no longer keeps at `now`.
    pub(super) fn expire(&mut self, rule: &RetentionRule, now: UnixMillis) {
        while let Some(first) = self.records.front() {
            let kept = self.records.len() <= rule.keep_records
                && self.bytes <= rule.keep_bytes
                && now.since(first.time) <= rule.keep_ms;
            if kept {
                return;
            }
            self.bytes -= first.data.len();
            self.records.pop_front();
        }
    }

    /// Tells when the stream grows.
    pub(super) fn growth(&self) -> watch::Receiver<u64> {
        self.next.subscribe()
    }

    /// At most `max` records from offset `from` on.
    pub(super) fn read(&self, from: u64, max: usize) -> ReadAnswer {
        let next = *self.next.borrow();
        let earliest = self.records.front().map_or(next, |first| first.offset);
        let skipped = from
            .saturating_sub(earliest)
            .try_into()
            .unwrap_or(usize::MAX);
        let mut budget = READ_BYTES;
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
