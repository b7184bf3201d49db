//! Counts the upstreams that a relayed request crashed, by request content. An upstream
//! counts as crashed when its connection broke or its answer ended early while it ran the request.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::RequestFingerprint;
use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Number of upstreams that a request must crash before it is quarantined.
const QUARANTINE_UPSTREAMS: usize = 3;
/// Duration of the quarantine after the last crash. It is short, since upstreams may fail together
/// for a reason other than the request, which must then not be rejected for long.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);
/// Retention time of a request after the last crash.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests held.
const ENTRY_LIMIT: usize = 1_024;

/// Crashed upstreams, by request.
#[derive(Debug, Default)]
pub struct CrashTally {
    entries: BTreeMap<RequestFingerprint, TallyEntry>,
}

#[derive(Debug)]
struct TallyEntry {
    /// Distinct incarnations of upstreams that crashed.
    upstreams: SmallVec<[UpstreamIncarnation; QUARANTINE_UPSTREAMS]>,
    /// Time of the last crash.
    last: MonotonicTime,
}

impl CrashTally {
    /// Whether no request is held; the caller can then skip computing a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that `upstream` crashed while it ran the request.
    ///
    /// Returns the crashed upstreams if the request is now quarantined.
    pub fn record(
        &mut self,
        request: RequestFingerprint,
        upstream: &UpstreamIncarnation,
        now: MonotonicTime,
    ) -> Option<&[UpstreamIncarnation]> {
        self.expire(now);
        let entry = self.entries.entry(request).or_insert_with(|| TallyEntry {
            upstreams: SmallVec::new(),
            last: now,
        });
        entry.last = now;
        if !entry.upstreams.contains(upstream) {
            entry.upstreams.push(upstream.clone());
        }
        (entry.upstreams.len() >= QUARANTINE_UPSTREAMS).then_some(&entry.upstreams[..])
    }

    /// Number of upstreams that crashed while they ran the request.
    pub fn crashed(&self, request: &RequestFingerprint) -> usize {
        let entry = self.entries.get(request);
        entry.map_or(0, |entry| entry.upstreams.len())
    }

    /// Records that the request was answered, so that it did not cause the crashes.
    pub fn clear(&mut self, request: &RequestFingerprint) {
        self.entries.remove(request);
    }

    /// Whether too many upstreams crashed for the request to run again at `now`.
    pub fn is_quarantined(&self, request: &RequestFingerprint, now: MonotonicTime) -> bool {
        self.entries.get(request).is_some_and(|entry| {
            entry.upstreams.len() >= QUARANTINE_UPSTREAMS && now.since(entry.last) < QUARANTINE_TIME
        })
    }

    /// Number of requests in quarantine at `now`.
    pub fn quarantined(&self, now: MonotonicTime) -> usize {
        let requests = self.entries.keys();
        requests
            .filter(|request| self.is_quarantined(request, now))
            .count()
    }

    /// Removes requests past the retention time, and the oldest ones at the limit.
    fn expire(&mut self, now: MonotonicTime) {
        self.entries
            .retain(|_, entry| now.since(entry.last) < RETENTION);
        while self.entries.len() >= ENTRY_LIMIT {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last);
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.entries.remove(&request);
        }
    }
}
