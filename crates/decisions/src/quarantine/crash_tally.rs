//! The fleet's count of the upstreams that relayed requests crashed, by request content and by the parts of their
//! prompts that other requests may share. An upstream counts as crashed when its connection broke or its answer ended
//! early while it ran the request.
//!
//! Each router adds to rows of its own; merging the rows of all routers gives the fleet's count, in any order.
//! Rows outlive their router in the platform's store.
//!
//! Equal requests are one request here, also if only some of them crash their upstream. Answers
//! therefore do not undo crashes; only a request that is answered many times for each crash
//! is taken for a frequent one that was in flight when upstreams failed for another reason.
//!
//! A part that crashes upstreams crashes each one that begins an answer on it. One whole answer therefore proves a part
//! sound for good, in the whole fleet, and its crashes are not counted.

use std::cell::OnceCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::answer_counts::AnswerCounts;
use super::part_suspect::guilty_parts;
use super::row_version::RowVersion;
use super::sound_parts::SoundParts;
use super::tally_entry::TallyEntry;
use super::{CrashRow, CrashRowKey, CrashSubject, ReportedRows, RequestFingerprint};
use crate::names::HostName;
use crate::registry::UpstreamIncarnation;
use crate::time::UnixMillis;

/// Retention time of a subject after its last crash, and duration of the quarantine of a part, in milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Maximum number of subjects held.
const ENTRY_LIMIT: usize = 2_048;

/// Where a row of another router was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowOrigin {
    /// The platform's store, directly or through a router that reads it.
    Store,
    /// A router whose row may not be in the store yet.
    Router,
}

/// What an answer proves about the parts of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProof {
    /// It is known to be complete, so that none of them crashes upstreams.
    Whole,
    /// It went on for a while, or ended without proof that it is complete.
    Unproven,
}

/// What is known of a request after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Number of upstreams that it crashed, in the whole fleet.
    pub crashed: usize,
    /// Whether it is quarantined.
    pub quarantined: bool,
}

/// Rows of all routers, by subject.
#[derive(Debug)]
pub struct CrashTally {
    /// This router, with its incarnation.
    router: String,
    entries: BTreeMap<CrashSubject, TallyEntry>,
    answers: AnswerCounts,
    /// Parts that this router knows to be sound; bounded, since it remembers parts that never met a crash.
    sound_parts: SoundParts,
    /// Parts in quarantine; empty after a change, until it is needed.
    guilty: OnceCell<BTreeSet<u64>>,
    /// Keys of rows in the store that are no longer held.
    dropped: BTreeSet<CrashRowKey>,
}

impl CrashTally {
    /// An empty tally of `router`, whose name is unique to its incarnation.
    pub fn new(router: &str) -> Self {
        Self {
            router: router.to_owned(),
            entries: BTreeMap::new(),
            answers: AnswerCounts::default(),
            sound_parts: SoundParts::default(),
            guilty: OnceCell::new(),
            dropped: BTreeSet::new(),
        }
    }

    /// Whether no crash is held; the caller can then skip computing a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of subjects held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records that `upstream` crashed while it ran the request for this router.
    pub fn record(
        &mut self,
        request: RequestFingerprint,
        upstream: &UpstreamIncarnation,
        now: UnixMillis,
    ) -> CrashVerdict {
        self.record_subject(CrashSubject::Request(request), upstream, now);
        self.verdict(&request, now)
    }

    /// Records that `upstream` crashed while it ran a request with `part` for this router.
    pub fn record_part(
        &mut self,
        part: u64,
        request: &RequestFingerprint,
        upstream: &UpstreamIncarnation,
        now: UnixMillis,
    ) {
        if self.sound_parts.contains(part) {
            return;
        }
        let subject = CrashSubject::Part(part);
        self.record_subject(subject, upstream, now);
        let key = self.own_key(subject);
        if let Some(entry) = self.entries.get_mut(&subject) {
            entry.add_request(key, request);
        }
    }

    /// Records that `upstream` survived what this router counted as its crash, since other routers still reach it; returns the
    /// number of subjects of which that is news.
    pub fn record_survival(&mut self, upstream: &UpstreamIncarnation) -> usize {
        let router = self.router.as_str();
        let entries = self.entries.values_mut();
        let news =
            entries.filter_map(|entry| entry.record_survival(router, upstream).then_some(()));
        let count = news.count();
        self.guilty.take();
        count
    }

    fn record_subject(
        &mut self,
        subject: CrashSubject,
        upstream: &UpstreamIncarnation,
        now: UnixMillis,
    ) {
        self.ensure_entry(subject, now, now);
        let key = self.own_key(subject);
        if let Some(entry) = self.entries.get_mut(&subject) {
            entry.record_crash(key, upstream, now);
        }
        self.guilty.take();
    }

    /// Records a complete answer to the request from an upstream that did not crash; returns whether crashes of the
    /// request are held.
    pub fn record_answer(&mut self, request: RequestFingerprint, now: UnixMillis) -> bool {
        self.count_answer(CrashSubject::Request(request), now)
    }

    /// Records an answer to a request with `part`; returns whether crashes under the part are held.
    pub fn record_part_answer(&mut self, part: u64, proof: AnswerProof, now: UnixMillis) -> bool {
        let subject = CrashSubject::Part(part);
        if proof == AnswerProof::Unproven {
            return !self.sound_parts.contains(part) && self.count_answer(subject, now);
        }
        if !self.sound_parts.insert(part) {
            return false;
        }
        let key = self.own_key(subject);
        let Some(entry) = self.entries.get_mut(&subject) else {
            return false;
        };
        entry.mark_sound(key);
        self.guilty.take();
        true
    }

    fn count_answer(&mut self, subject: CrashSubject, now: UnixMillis) -> bool {
        self.answers.add(subject, now);
        let key = self.own_key(subject);
        let Some(entry) = self.entries.get_mut(&subject) else {
            return false;
        };
        entry.add_answers(key, 1);
        self.guilty.take();
        true
    }

    /// Merges a row of another router; returns whether it was news.
    pub fn merge(&mut self, row: CrashRow, origin: RowOrigin, now: UnixMillis) -> bool {
        if now.since(row.last_crash_at) >= RETENTION_MS {
            if origin == RowOrigin::Store {
                self.dropped.insert(row.key);
            }
            return false;
        }
        let subject = row.key.subject;
        self.ensure_entry(subject, row.last_crash_at.min(now), now);
        let Some(entry) = self.entries.get_mut(&subject) else {
            return false;
        };
        let is_news = entry.merge(row, origin, now);
        if is_news {
            self.guilty.take();
        }
        if let CrashSubject::Part(part) = subject
            && entry.is_sound()
        {
            self.sound_parts.insert(part);
        }
        is_news
    }

    /// Marks this version of a row as being in the store.
    pub fn mark_stored(&mut self, row: &CrashRow) {
        if let Some(entry) = self.entries.get_mut(&row.key.subject) {
            entry.mark_stored(row);
        }
    }

    /// Records that the store may have lost rows: those that it does not list again count as not stored.
    pub fn forget_stored(&mut self) {
        self.entries
            .values_mut()
            .for_each(TallyEntry::forget_stored);
    }

    /// Rows, at most `limit`, that are not in the store as they are here: those of subjects that one more crash may quarantine first, then
    /// those of the latest crashes.
    pub fn unstored(&self, limit: usize) -> Vec<CrashRow> {
        self.unstored_beside(|_| None, limit)
    }

    /// Rows in the same order that are not in the store as they are here, and that `router` has not received yet.
    pub fn unreported(
        &self,
        router: &HostName,
        reported: &ReportedRows,
        limit: usize,
    ) -> Vec<CrashRow> {
        self.unstored_beside(|key| reported.version(router, key), limit)
    }

    fn unstored_beside(
        &self,
        known: impl Fn(&CrashRowKey) -> Option<RowVersion> + Copy,
        limit: usize,
    ) -> Vec<CrashRow> {
        let mut entries: Vec<&TallyEntry> = self.entries.values().collect();
        entries.sort_by_key(|entry| Reverse((entry.is_near_quarantine(), entry.last_crash())));
        let rows = entries
            .into_iter()
            .flat_map(|entry| entry.unstored_beside(known));
        rows.take(limit).cloned().collect()
    }

    /// Whether there are rows that are not in the store as they are here.
    pub fn has_unstored(&self) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.unstored().next().is_some())
    }

    /// Those of `rows` that are in the store as they are here, as they are here.
    pub fn stored_of(&self, rows: &[CrashRow]) -> Vec<CrashRow> {
        let held = rows.iter().filter_map(|row| {
            let entry = self.entries.get(&row.key.subject)?;
            entry.stored_row(&row.key)
        });
        held.cloned().collect()
    }

    /// Rows in the store of those of `subjects` that one more crash may quarantine, or could have. Only these matter to routers that count no crash of the
    /// subject themselves: most requests that meet a crash did not cause it.
    pub fn near_rows_of(&self, subjects: &BTreeSet<CrashSubject>) -> Vec<CrashRow> {
        let entries = subjects
            .iter()
            .filter_map(|subject| self.entries.get(subject));
        entries.flat_map(TallyEntry::near_rows).cloned().collect()
    }

    /// Whether a subject is about to be quarantined and has rows that are not in the store.
    pub fn has_urgent(&self) -> bool {
        self.entries.values().any(TallyEntry::is_urgent)
    }

    /// Rows, at most `limit`, in the store of subjects that one more crash may quarantine, or could have.
    pub fn near_rows(&self, limit: usize) -> Vec<CrashRow> {
        let rows = self.entries.values().flat_map(TallyEntry::near_rows);
        rows.take(limit).cloned().collect()
    }

    /// All rows, at most `limit`.
    pub fn rows(&self, limit: usize) -> Vec<CrashRow> {
        let rows = self.entries.values().flat_map(TallyEntry::rows);
        rows.take(limit).cloned().collect()
    }

    /// Number of upstreams that crashed while they ran the request.
    pub fn crashed(&self, request: &RequestFingerprint) -> usize {
        self.crashed_by(&CrashSubject::Request(*request))
    }

    /// Number of upstreams that crashed while they ran `subject`.
    pub fn crashed_by(&self, subject: &CrashSubject) -> usize {
        self.entries.get(subject).map_or(0, TallyEntry::crashed)
    }

    /// Whether too many upstreams crashed for the request to run again at `now`.
    pub fn is_quarantined(&self, request: &RequestFingerprint, now: UnixMillis) -> bool {
        let entry = self.entries.get(&CrashSubject::Request(*request));
        entry.is_some_and(|entry| entry.is_quarantined(now))
    }

    /// Parts that crash upstreams, which no request may run with.
    pub fn guilty_parts(&self) -> &BTreeSet<u64> {
        self.guilty.get_or_init(|| {
            let suspects = self.entries.values().filter_map(TallyEntry::suspect);
            guilty_parts(suspects.collect())
        })
    }

    /// Number of requests and parts in quarantine at `now`.
    pub fn quarantined(&self, now: UnixMillis) -> usize {
        let entries = self.entries.iter();
        let requests = entries.filter(|(subject, entry)| {
            matches!(subject, CrashSubject::Request(_)) && entry.is_quarantined(now)
        });
        requests.count() + self.guilty_parts().len()
    }

    /// Removes subjects past the retention time; returns the keys of rows to be removed from the store.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<CrashRowKey> {
        let expired = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry, now));
        let expired: Vec<CrashSubject> = expired.map(|(subject, _)| *subject).collect();
        for subject in expired {
            self.remove(&subject);
        }
        std::mem::take(&mut self.dropped).into_iter().collect()
    }

    fn verdict(&self, request: &RequestFingerprint, now: UnixMillis) -> CrashVerdict {
        CrashVerdict {
            crashed: self.crashed(request),
            quarantined: self.is_quarantined(request, now),
        }
    }

    /// Key of this router's row of `subject`.
    fn own_key(&self, subject: CrashSubject) -> CrashRowKey {
        CrashRowKey {
            subject,
            router: self.router.clone(),
        }
    }

    /// Creates the entry of `subject` if there is none, with what this router knows of its answers so far.
    fn ensure_entry(&mut self, subject: CrashSubject, last_crash: UnixMillis, now: UnixMillis) {
        let is_expired = |entry: &TallyEntry| is_expired(entry, now);
        if self.entries.get(&subject).is_some_and(is_expired) {
            self.remove(&subject);
        }
        if self.entries.contains_key(&subject) {
            return;
        }
        if self.entries.len() >= ENTRY_LIMIT {
            self.evict(now);
        }
        let answers = self.answers.recent(&subject, now);
        let mut entry = TallyEntry::new(subject, last_crash);
        entry.add_answers(self.own_key(subject), answers);
        if let CrashSubject::Part(part) = subject
            && self.sound_parts.contains(part)
        {
            entry.mark_sound(self.own_key(subject));
        }
        self.entries.insert(subject, entry);
    }

    /// Removes the oldest subject, one that is not quarantined if there is any.
    fn evict(&mut self, now: UnixMillis) {
        let guilty = self.guilty_parts();
        let is_held = |subject: &CrashSubject, entry: &TallyEntry| match subject {
            CrashSubject::Part(part) => guilty.contains(part),
            CrashSubject::Request(_) => entry.is_quarantined(now),
        };
        let entries = self.entries.iter();
        let oldest =
            entries.min_by_key(|(subject, entry)| (is_held(subject, entry), entry.last_crash()));
        if let Some(subject) = oldest.map(|(subject, _)| *subject) {
            self.remove(&subject);
        }
    }

    fn remove(&mut self, subject: &CrashSubject) {
        if let Some(entry) = self.entries.remove(subject) {
            self.dropped.extend(entry.stored_keys());
            self.guilty.take();
        }
    }
}

fn is_expired(entry: &TallyEntry, now: UnixMillis) -> bool {
    now.since(entry.last_crash()) >= RETENTION_MS
}
