//! Requests whose upstreams kept breaking off, counted by content.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::RequestFingerprint;
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Upstreams that broke off with a request from which on it is not run again.
const QUARANTINE_UPSTREAMS: usize = 3;
/// Time for which it is not run again after the last break: upstreams that failed together for a cause of
/// their own must not shut a request out for long.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);
/// Time for which a request is remembered after the last break.
const MEMORY: Duration = Duration::from_secs(600);
/// Most requests remembered.
const ENTRY_LIMIT: usize = 1_024;

/// Breaks by request.
#[derive(Debug, Default)]
pub struct CrashTally {
    entries: BTreeMap<RequestFingerprint, BreakEntry>,
}

#[derive(Debug)]
struct BreakEntry {
    /// Upstreams that broke off, each once.
    upstreams: SmallVec<[HostName; QUARANTINE_UPSTREAMS]>,
    last: MonotonicTime,
}

impl CrashTally {
    /// Whether nothing is remembered, so that no fingerprint need be computed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes in that `upstream` broke off while it ran the request.
    ///
    /// Gives the upstreams that broke off, if they are too many for the request to be run again now.
    pub fn record(
        &mut self,
        request: RequestFingerprint,
        upstream: &HostName,
        now: MonotonicTime,
    ) -> Option<&[HostName]> {
        self.expire(now);
        let entry = self.entries.entry(request).or_insert_with(|| BreakEntry {
            upstreams: SmallVec::new(),
            last: now,
        });
        entry.last = now;
        if !entry.upstreams.contains(upstream) {
            entry.upstreams.push(upstream.clone());
        }
        (entry.upstreams.len() >= QUARANTINE_UPSTREAMS).then_some(&entry.upstreams[..])
    }

    /// Takes in that the request was answered, so that it did not cause the breaks.
    pub fn clear(&mut self, request: &RequestFingerprint) {
        self.entries.remove(request);
    }

    /// Whether the request broke too many upstreams to be run again.
    pub fn is_quarantined(&self, request: &RequestFingerprint, now: MonotonicTime) -> bool {
        self.entries.get(request).is_some_and(|entry| {
            entry.upstreams.len() >= QUARANTINE_UPSTREAMS && now.since(entry.last) < QUARANTINE_TIME
        })
    }

    /// Requests that are not run again.
    pub fn quarantined(&self, now: MonotonicTime) -> usize {
        let requests = self.entries.keys();
        requests
            .filter(|request| self.is_quarantined(request, now))
            .count()
    }

    /// Forgets what is old, and the oldest when there is too much.
    fn expire(&mut self, now: MonotonicTime) {
        self.entries
            .retain(|_, entry| now.since(entry.last) < MEMORY);
        while self.entries.len() >= ENTRY_LIMIT {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last);
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.entries.remove(&request);
        }
    }
}
