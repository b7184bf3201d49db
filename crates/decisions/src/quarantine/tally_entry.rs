//! Rows of all routers about one request.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::{CrashRow, CrashRowKey, RowOrigin};
use crate::registry::UpstreamIncarnation;
use crate::time::UnixMillis;

/// Number of upstreams that a request must crash before it is quarantined.
const QUARANTINE_UPSTREAMS: usize = 3;
/// Duration of the quarantine after the last crash, in milliseconds. It is short, since upstreams may
/// fail together for a reason other than the request, which must then not be rejected for long.
const QUARANTINE_MS: u64 = 60_000;
/// Number of answers for each crash from which a request is not quarantined.
const ANSWERS_PER_CRASH: usize = 4;
/// Factor by which the answers of a row must grow for it to be stored again.
const ANSWERS_GROWTH: u32 = 2;

/// What the fleet knows of one request.
#[derive(Debug)]
pub(super) struct TallyEntry {
    /// At most one row for each router incarnation.
    rows: SmallVec<[HeldRow; 2]>,
    /// Time of the last crash, never later than this router's clock when it learned of it.
    last_crash: UnixMillis,
}

/// A row, and how much of it is in the store.
#[derive(Debug)]
struct HeldRow {
    row: CrashRow,
    /// Version of the row in the store.
    stored: Option<StoredVersion>,
}

/// Size of a version of a row; rows only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StoredVersion {
    crashed: usize,
    answers: u32,
}

impl TallyEntry {
    /// An entry without rows.
    pub(super) fn new(last_crash: UnixMillis) -> Self {
        Self {
            rows: SmallVec::new(),
            last_crash,
        }
    }

    pub(super) fn last_crash(&self) -> UnixMillis {
        self.last_crash
    }

    /// Adds a crash to the row `key` of this router.
    pub(super) fn record_crash(
        &mut self,
        key: CrashRowKey,
        upstream: &UpstreamIncarnation,
        now: UnixMillis,
    ) {
        self.last_crash = now;
        let row = &mut self.held(key, now).row;
        row.last_crash_at = now;
        if !row.crashed.contains(upstream) {
            row.crashed.push(upstream.clone());
        }
    }

    /// Adds answers to the row `key` of this router.
    pub(super) fn add_answers(&mut self, key: CrashRowKey, answers: u32) {
        if answers > 0 {
            let last_crash = self.last_crash;
            self.held(key, last_crash).row.answers += answers;
        }
    }

    /// Merges a row of another router; returns whether it was news.
    pub(super) fn merge(&mut self, row: CrashRow, origin: RowOrigin, now: UnixMillis) -> bool {
        let version = StoredVersion::of(&row);
        let last_crash_at = row.last_crash_at.min(now);
        let held = self.rows.iter_mut().find(|held| held.row.key == row.key);
        let (held, is_news) = match held {
            Some(held) => {
                let is_news = held.row.merge(&row);
                (held, is_news)
            }
            None => {
                self.rows.push(HeldRow { row, stored: None });
                let last = self.rows.len() - 1;
                (&mut self.rows[last], true)
            }
        };
        if origin == RowOrigin::Store {
            held.stored = held.stored.max(Some(version));
        }
        if is_news {
            self.last_crash = self.last_crash.max(last_crash_at);
        }
        is_news
    }

    /// Marks this version of a row as being in the store.
    pub(super) fn mark_stored(&mut self, row: &CrashRow) {
        let held = self.rows.iter_mut().find(|held| held.row.key == row.key);
        if let Some(held) = held {
            held.stored = held.stored.max(Some(StoredVersion::of(row)));
        }
    }

    pub(super) fn rows(&self) -> impl Iterator<Item = &CrashRow> {
        self.rows.iter().map(|held| &held.row)
    }

    /// Rows that are not in the store as they are here.
    pub(super) fn unstored(&self) -> impl Iterator<Item = &CrashRow> {
        // Answers matter only to a request that is about to be quarantined.
        let rows = self.rows.iter();
        rows.filter(|held| {
            held.has_new_crashes() || (held.has_new_answers() && self.is_near_quarantine())
        })
        .map(|held| &held.row)
    }

    /// Whether there are rows that are not in the store, and one more crash quarantines the request.
    pub(super) fn is_urgent(&self) -> bool {
        self.unstored().next().is_some() && self.is_near_quarantine()
    }

    fn is_near_quarantine(&self) -> bool {
        self.crashed() + 1 >= QUARANTINE_UPSTREAMS
    }

    /// Keys of the rows that are in the store.
    pub(super) fn stored_keys(self) -> impl Iterator<Item = CrashRowKey> {
        let stored = self.rows.into_iter().filter(|held| held.stored.is_some());
        stored.map(|held| held.row.key)
    }

    /// Number of distinct upstreams that crashed.
    pub(super) fn crashed(&self) -> usize {
        let crashed = self.rows().flat_map(|row| &row.crashed);
        crashed.collect::<BTreeSet<_>>().len()
    }

    pub(super) fn is_quarantined(&self, now: UnixMillis) -> bool {
        let crashed = self.crashed();
        let answers: usize = self.rows().map(|row| row.answers as usize).sum();
        crashed >= QUARANTINE_UPSTREAMS
            && answers < crashed * ANSWERS_PER_CRASH
            && now.since(self.last_crash) < QUARANTINE_MS
    }

    /// The row `key`, which is created if there is none.
    fn held(&mut self, key: CrashRowKey, last_crash_at: UnixMillis) -> &mut HeldRow {
        let index = self.rows.iter().position(|held| held.row.key == key);
        let index = index.unwrap_or_else(|| {
            let row = CrashRow {
                key,
                crashed: Vec::new(),
                answers: 0,
                last_crash_at,
            };
            self.rows.push(HeldRow { row, stored: None });
            self.rows.len() - 1
        });
        &mut self.rows[index]
    }
}

impl HeldRow {
    fn has_new_crashes(&self) -> bool {
        let stored = self.stored.map_or(0, |stored| stored.crashed);
        self.row.crashed.len() > stored
    }

    /// Whether the answers have grown enough to be stored again.
    fn has_new_answers(&self) -> bool {
        let stored = self.stored.map_or(0, |stored| stored.answers);
        self.row.answers >= (stored * ANSWERS_GROWTH).max(1)
    }
}

impl StoredVersion {
    fn of(row: &CrashRow) -> Self {
        Self {
            crashed: row.crashed.len(),
            answers: row.answers,
        }
    }
}
