//! Rows of all routers about one subject.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use super::part_suspect::{GUILTY_UPSTREAMS, PartSuspect};
use super::row_version::RowVersion;
use super::{CrashRow, CrashRowKey, CrashSubject, RequestFingerprint, RowOrigin};
use crate::registry::UpstreamIncarnation;
use crate::time::UnixMillis;

/// Number of upstreams that a request must crash before it is quarantined.
const QUARANTINE_UPSTREAMS: usize = 3;
/// Duration of the quarantine after the last crash, in milliseconds. It is short, since upstreams may
/// fail together for a reason other than the request, which must then not be rejected for long.
const QUARANTINE_MS: u64 = 60_000;
/// Number of answers for each crash from which a request or a part is not quarantined.
const ANSWERS_PER_CRASH: usize = 4;
/// Factor by which the answers of a row must grow for it to be stored again.
const ANSWERS_GROWTH: u32 = 2;

/// Number of distinct requests that must have run with a part at crashes for it to be a suspect.
const SUSPECT_REQUESTS: usize = 2;

/// What the fleet knows of one subject.
#[derive(Debug)]
pub(super) struct TallyEntry {
    subject: CrashSubject,
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
    stored: Option<RowVersion>,
}

impl TallyEntry {
    /// An entry without rows.
    pub(super) fn new(subject: CrashSubject, last_crash: UnixMillis) -> Self {
        Self {
            subject,
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

    /// Records in the row of `router` that `upstream` survived; returns whether that is news.
    pub(super) fn record_survival(&mut self, router: &str, upstream: &UpstreamIncarnation) -> bool {
        let mut rows = self.rows.iter_mut().map(|held| &mut held.row);
        let own = rows.find(|row| row.key.router == router);
        own.is_some_and(|row| row.add_survival(upstream))
    }

    /// Adds a request that ran with the part at a crash to the row `key` of this router.
    pub(super) fn add_request(&mut self, key: CrashRowKey, request: &RequestFingerprint) {
        let last_crash = self.last_crash;
        self.held(key, last_crash).row.add_request(request.short());
    }

    /// Marks the part as sound in the row `key` of this router.
    pub(super) fn mark_sound(&mut self, key: CrashRowKey) {
        let last_crash = self.last_crash;
        self.held(key, last_crash).row.is_sound = true;
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
        let version = RowVersion::of(&row);
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
            held.stored = held.stored.max(Some(RowVersion::of(row)));
        }
    }

    /// Records that the store has lost its rows.
    pub(super) fn forget_stored(&mut self) {
        self.rows.iter_mut().for_each(|held| held.stored = None);
    }

    pub(super) fn rows(&self) -> impl Iterator<Item = &CrashRow> {
        self.rows.iter().map(|held| &held.row)
    }

    /// Rows that are not in the store as they are here.
    pub(super) fn unstored(&self) -> impl Iterator<Item = &CrashRow> {
        self.unstored_beside(|_| None)
    }

    /// Rows that are not in the store as they are here, beside the version that `known` returns for a row.
    pub(super) fn unstored_beside(
        &self,
        known: impl Fn(&CrashRowKey) -> Option<RowVersion>,
    ) -> impl Iterator<Item = &CrashRow> {
        let is_near = self.is_near_quarantine();
        let rows = self.rows.iter();
        rows.filter(move |held| held.has_news(held.stored.max(known(&held.row.key)), is_near))
            .map(|held| &held.row)
    }

    /// Rows of which a version is in the store, if one more crash may quarantine the subject, or could have before crashes of it were
    /// taken back: the routers that got its rows then have to hear of that.
    pub(super) fn near_rows(&self) -> impl Iterator<Item = &CrashRow> {
        let crashes = self.rows().flat_map(|row| &row.crashed);
        let crashes: BTreeSet<&UpstreamIncarnation> = crashes.collect();
        let is_near = crashes.len() + 1 >= self.least_crashes();
        let rows = self.rows.iter().filter(move |_| is_near);
        rows.filter(|held| held.stored.is_some())
            .map(|held| &held.row)
    }

    /// The row `key`, if it is in the store as it is here.
    pub(super) fn stored_row(&self, key: &CrashRowKey) -> Option<&CrashRow> {
        let mut rows = self.rows.iter();
        let held = rows.find(|held| held.row.key == *key)?;
        held.stored_row()
    }

    /// Whether there are rows that are not in the store, and one more crash may quarantine the subject.
    pub(super) fn is_urgent(&self) -> bool {
        self.unstored().next().is_some() && self.is_near_quarantine()
    }

    /// Whether one more crash may quarantine the subject.
    pub(super) fn is_near_quarantine(&self) -> bool {
        self.crashed() + 1 >= self.least_crashes()
    }

    /// Least number of upstreams that the subject crashed before it is quarantined.
    fn least_crashes(&self) -> usize {
        match self.subject {
            CrashSubject::Part(_) => GUILTY_UPSTREAMS,
            CrashSubject::Request(_) => QUARANTINE_UPSTREAMS,
        }
    }

    /// Keys of the rows that are in the store.
    pub(super) fn stored_keys(self) -> impl Iterator<Item = CrashRowKey> {
        let stored = self.rows.into_iter().filter(|held| held.stored.is_some());
        stored.map(|held| held.row.key)
    }

    /// Number of distinct upstreams that crashed.
    pub(super) fn crashed(&self) -> usize {
        self.crashed_upstreams().len()
    }

    fn crashed_upstreams(&self) -> BTreeSet<&UpstreamIncarnation> {
        self.rows().flat_map(CrashRow::ended).collect()
    }

    /// Whether the request crashed too many upstreams to run again at `now`.
    pub(super) fn is_quarantined(&self, now: UnixMillis) -> bool {
        let crashed = self.crashed();
        crashed >= QUARANTINE_UPSTREAMS
            && !self.is_answered_often(crashed)
            && now.since(self.last_crash) < QUARANTINE_MS
    }

    /// The part as a suspect; `None` if it is a request, or known to be sound.
    pub(super) fn suspect(&self) -> Option<PartSuspect<'_>> {
        let CrashSubject::Part(part) = self.subject else {
            return None;
        };
        let most: usize = self.rows().map(|row| row.ended().count()).sum();
        if most < GUILTY_UPSTREAMS || self.is_sound() {
            return None;
        }
        let crashed = self.crashed_upstreams();
        let requests: BTreeSet<u32> = self.rows().flat_map(|row| &row.requests).copied().collect();
        let is_suspect =
            requests.len() >= SUSPECT_REQUESTS && !self.is_answered_often(crashed.len());
        if !is_suspect {
            return None;
        }
        let mut reports = BTreeMap::new();
        for upstream in self.rows().flat_map(CrashRow::ended) {
            *reports.entry(&upstream.id).or_default() += 1;
        }
        Some(PartSuspect {
            part,
            crashed,
            reports,
            requests: requests.len(),
        })
    }

    /// Whether a router saw a whole answer on the part.
    pub(super) fn is_sound(&self) -> bool {
        self.rows().any(|row| row.is_sound)
    }

    fn is_answered_often(&self, crashed: usize) -> bool {
        let answers: usize = self.rows().map(|row| row.answers as usize).sum();
        answers >= crashed * ANSWERS_PER_CRASH
    }

    /// The row `key`, which is created if there is none.
    fn held(&mut self, key: CrashRowKey, last_crash_at: UnixMillis) -> &mut HeldRow {
        let index = self.rows.iter().position(|held| held.row.key == key);
        let index = index.unwrap_or_else(|| {
            let row = CrashRow::new(key, last_crash_at);
            self.rows.push(HeldRow { row, stored: None });
            self.rows.len() - 1
        });
        &mut self.rows[index]
    }
}

impl HeldRow {
    /// The row, if it is in the store as it is here.
    fn stored_row(&self) -> Option<&CrashRow> {
        (self.stored == Some(RowVersion::of(&self.row))).then_some(&self.row)
    }

    /// Whether the row is to be passed on to one that knows the version `known`; `is_near` says whether one more crash may quarantine the
    /// subject.
    fn has_news(&self, known: Option<RowVersion>, is_near: bool) -> bool {
        let known = known.unwrap_or_default();
        // Answers matter only to a subject that is about to be quarantined.
        self.has_new_crashes(known) || is_near && self.has_new_evidence(known)
    }

    fn has_new_crashes(&self, known: RowVersion) -> bool {
        self.row.crashed.len() > known.crashed
            || self.row.survived.len() > known.survived
            || self.row.requests.len() > known.requests
    }

    /// Whether the part has turned out to be sound, or the answers have grown enough to be passed on again.
    fn has_new_evidence(&self, known: RowVersion) -> bool {
        let has_new_answers = self.row.answers >= (known.answers * ANSWERS_GROWTH).max(1);
        has_new_answers || self.row.is_sound && !known.is_sound
    }
}
