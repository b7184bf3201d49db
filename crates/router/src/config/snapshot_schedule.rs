//! When the folded state has to be appended again, so that retention never outruns it.

use ferry_decisions::time::UnixMillis;

/// Part of the retention time after which a snapshot is due.
const RETENTION_PART: u64 = 4;
/// Records after a snapshot that make the next one due, for a log that bounds its length.
const RECORDS_BETWEEN: u64 = 512;

/// What is known of the snapshots on the stream.
#[derive(Debug, Clone, Default)]
pub struct SnapshotSchedule {
    /// Offset of the oldest record that the log keeps.
    earliest: u64,
    /// Offset that the log gives next.
    next: u64,
    /// Time of the first record that was seen.
    oldest: Option<UnixMillis>,
    newest: Option<SeenSnapshot>,
}

/// A snapshot that is or was on the stream.
#[derive(Debug, Clone, Copy)]
struct SeenSnapshot {
    offset: u64,
    as_of: u64,
    time: UnixMillis,
}

impl SnapshotSchedule {
    /// Takes the bounds that a read of the log showed.
    pub fn note_bounds(&mut self, earliest: u64, next: u64) {
        self.earliest = self.earliest.max(earliest);
        self.next = self.next.max(next);
    }

    /// Takes the record at `offset`; `as_of` is set if it is a snapshot.
    pub fn note_record(&mut self, offset: u64, time: UnixMillis, as_of: Option<u64>) {
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
        let is_old = |time: UnixMillis| now.since(time) > retention_ms / RETENTION_PART;
        match self.newest.filter(|seen| self.is_usable(seen)) {
            Some(seen) => is_old(seen.time) || self.next - seen.offset > RECORDS_BETWEEN,
            None => self.earliest > 0 || self.oldest.is_some_and(is_old),
        }
    }

    /// Whether a reader that starts now can start from `seen`.
    fn is_usable(&self, seen: &SeenSnapshot) -> bool {
        seen.offset >= self.earliest && seen.as_of + 1 >= self.earliest
    }
}
