//! The fleet's count of the upstreams that a relayed request crashed, by request content. An upstream
//! counts as crashed when its connection broke or its answer ended early while it ran the request.
//!
//! Each router adds to rows of its own; merging the rows of all routers gives the fleet's count, in any order.
//! Rows outlive their router in the platform's store.
//!
//! Equal requests are one request here, also if only some of them crash their upstream. Answers
//! therefore do not undo crashes; only a request that is answered many times for each crash
//! is taken for a frequent one that was in flight when upstreams failed for another reason.

use std::collections::{BTreeMap, BTreeSet};

use super::answer_counts::AnswerCounts;
use super::tally_entry::TallyEntry;
use super::{CrashRow, CrashRowKey, RequestFingerprint};
use crate::registry::UpstreamIncarnation;
use crate::time::UnixMillis;

/// Retention time of a request after the last crash, in milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Maximum number of requests held.
const ENTRY_LIMIT: usize = 1_024;

/// Where a row of another router was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowOrigin {
    /// The platform's store, directly or through a router that reads it.
    Store,
    /// A router whose row may not be in the store yet.
    Router,
}

/// What is known of a request after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Number of upstreams that it crashed, in the whole fleet.
    pub crashed: usize,
    /// Whether it is quarantined.
    pub quarantined: bool,
}

/// Rows of all routers, by request.
#[derive(Debug)]
pub struct CrashTally {
    /// This router, with its incarnation.
    router: String,
    entries: BTreeMap<RequestFingerprint, TallyEntry>,
    answers: AnswerCounts,
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
            dropped: BTreeSet::new(),
        }
    }

    /// Whether no crash is held; the caller can then skip computing a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that `upstream` crashed while it ran the request for this router.
    pub fn record(
        &mut self,
        request: RequestFingerprint,
        upstream: &UpstreamIncarnation,
        now: UnixMillis,
    ) -> CrashVerdict {
        self.ensure_entry(request, now, now);
        let router = self.router.clone();
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.record_crash(CrashRowKey { request, router }, upstream, now);
        }
        self.verdict(&request, now)
    }

    /// Records a complete answer to the request from an upstream that did not crash; returns whether crashes of the
    /// request are held.
    pub fn record_answer(&mut self, request: RequestFingerprint, now: UnixMillis) -> bool {
        self.answers.add(request, now);
        let Some(entry) = self.entries.get_mut(&request) else {
            return false;
        };
        let router = self.router.clone();
        entry.add_answers(CrashRowKey { request, router }, 1);
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
        let request = row.key.request;
        self.ensure_entry(request, row.last_crash_at.min(now), now);
        let entry = self.entries.get_mut(&request);
        entry.is_some_and(|entry| entry.merge(row, origin, now))
    }

    /// Marks this version of a row as being in the store.
    pub fn mark_stored(&mut self, row: &CrashRow) {
        if let Some(entry) = self.entries.get_mut(&row.key.request) {
            entry.mark_stored(row);
        }
    }

    /// Rows, at most `limit`, that are not in the store as they are here.
    pub fn unstored(&self, limit: usize) -> Vec<CrashRow> {
        let rows = self.entries.values().flat_map(TallyEntry::unstored);
        rows.take(limit).cloned().collect()
    }

    /// Whether a request is about to be quarantined and has rows that are not in the store.
    pub fn has_urgent(&self) -> bool {
        self.entries.values().any(TallyEntry::is_urgent)
    }

    /// All rows, at most `limit`.
    pub fn rows(&self, limit: usize) -> Vec<CrashRow> {
        let rows = self.entries.values().flat_map(TallyEntry::rows);
        rows.take(limit).cloned().collect()
    }

    /// Number of upstreams that crashed while they ran the request.
    pub fn crashed(&self, request: &RequestFingerprint) -> usize {
        self.entries.get(request).map_or(0, TallyEntry::crashed)
    }

    /// Whether too many upstreams crashed for the request to run again at `now`.
    pub fn is_quarantined(&self, request: &RequestFingerprint, now: UnixMillis) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|entry| entry.is_quarantined(now))
    }

    /// Number of requests in quarantine at `now`.
    pub fn quarantined(&self, now: UnixMillis) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_quarantined(now)).count()
    }

    /// Removes requests past the retention time; returns the keys of rows to be removed from the store.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<CrashRowKey> {
        let expired = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry, now));
        let expired: Vec<RequestFingerprint> = expired.map(|(request, _)| *request).collect();
        for request in expired {
            self.remove(&request);
        }
        std::mem::take(&mut self.dropped).into_iter().collect()
    }

    fn verdict(&self, request: &RequestFingerprint, now: UnixMillis) -> CrashVerdict {
        CrashVerdict {
            crashed: self.crashed(request),
            quarantined: self.is_quarantined(request, now),
        }
    }

    /// Creates the entry of `request` if there is none, with the answers of this router so far.
    fn ensure_entry(
        &mut self,
        request: RequestFingerprint,
        last_crash: UnixMillis,
        now: UnixMillis,
    ) {
        let is_expired = |entry: &TallyEntry| is_expired(entry, now);
        if self.entries.get(&request).is_some_and(is_expired) {
            self.remove(&request);
        }
        if self.entries.contains_key(&request) {
            return;
        }
        if self.entries.len() >= ENTRY_LIMIT {
            self.evict(now);
        }
        let answers = self.answers.recent(&request, now);
        let router = self.router.clone();
        let mut entry = TallyEntry::new(last_crash);
        entry.add_answers(CrashRowKey { request, router }, answers);
        self.entries.insert(request, entry);
    }

    /// Removes the oldest request, one that is not quarantined if there is any.
    fn evict(&mut self, now: UnixMillis) {
        let entries = self.entries.iter();
        let oldest =
            entries.min_by_key(|(_, entry)| (entry.is_quarantined(now), entry.last_crash()));
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.remove(&request);
        }
    }

    fn remove(&mut self, request: &RequestFingerprint) {
        if let Some(entry) = self.entries.remove(request) {
            self.dropped.extend(entry.stored_keys());
        }
    }
}

fn is_expired(entry: &TallyEntry, now: UnixMillis) -> bool {
    now.since(entry.last_crash()) >= RETENTION_MS
}
