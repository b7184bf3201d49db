//! Decides when a snapshot must be appended, so that a retained snapshot always covers the expired
//! records.

use ferry_decisions::time::UnixMillis;

/// A snapshot is due after the retention time divided by this.
const RETENTION_DIVISOR: u64 = 4;
/// Number of records after a snapshot beyond which the next one is due, for a log that limits its
/// number of records.
const MAX_RECORDS_BETWEEN_SNAPSHOTS: u64 = 512;

/// Bounds of the stream and its newest snapshot.
#[derive(Debug, Clone, Default)]
pub struct SnapshotSchedule {
    /// Offset of the oldest record that the log keeps.
    earliest: u64,
    /// Offset that the log will assign next.
    next: u64,
    /// Time of the first observed record.
    oldest: Option<UnixMillis>,
    newest: Option<SeenSnapshot>,
}

/// A snapshot that was read from the stream; it may have expired since.
#[derive(Debug, Clone, Copy)]
struct SeenSnapshot {
    offset: u64,
    as_of: u64,
    time: UnixMillis,
}

impl SnapshotSchedule {
    /// Records the bounds that a read of the log returned.
    pub fn record_bounds(&mut self, earliest: u64, next: u64) {
        self.earliest = self.earliest.max(earliest);
        self.next = self.next.max(next);
    }

    /// Records the time of the record at `offset`; `as_of` is set if it is a snapshot.
    pub fn observe_record(&mut self, offset: u64, time: UnixMillis, as_of: Option<u64>) {
        self.oldest.get_or_insert(time);
        if let Some(as_of) = as_of
            && self.newest.is_none_or(|newest| newest.offset < offset)
        {
            let seen = SeenSnapshot {
                offset,
                as_of,
                time,
            };
            self.newest = Some(seen);
        }
    }

    /// Whether a snapshot is due at `now` on a log that keeps records for `retention_ms`.
    pub fn is_due(&self, now: UnixMillis, retention_ms: u64) -> bool {
        let is_old = |time: UnixMillis| now.since(time) > retention_ms / RETENTION_DIVISOR;
        match self.newest.filter(|seen| self.is_usable(seen)) {
            Some(seen) => {
                is_old(seen.time) || self.next - seen.offset > MAX_RECORDS_BETWEEN_SNAPSHOTS
            }
            None => self.earliest > 0 || self.oldest.is_some_and(is_old),
        }
    }

    /// Whether a new reader can start from `seen`.
    fn is_usable(&self, seen: &SeenSnapshot) -> bool {
        seen.offset >= self.earliest && seen.as_of + 1 >= self.earliest
    }
}
