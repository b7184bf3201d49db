//! Counts the upstreams that a relayed request crashed, by request content. An upstream
//! counts as crashed when its connection broke or its answer ended early while it ran the request.
//!
//! Equal requests are one request here, also if only some of them crash their upstream. Answers
//! therefore do not undo crashes; only a request that is answered many times for each crash
//! is taken for a frequent one that was in flight when upstreams failed for another reason.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::RequestFingerprint;
use super::answer_counts::AnswerCounts;
use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Number of upstreams that a request must crash before it is quarantined.
const QUARANTINE_UPSTREAMS: usize = 3;
/// Duration of the quarantine after the last crash. It is short, since upstreams may fail together
/// for a reason other than the request, which must then not be rejected for long.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);
/// Retention time of a request after the last crash.
const RETENTION: Duration = Duration::from_secs(600);
/// Number of answers for each crash from which a request is not quarantined.
const ANSWERS_PER_CRASH: usize = 4;
/// Maximum number of requests held.
const ENTRY_LIMIT: usize = 1_024;

/// Crashed upstreams, by request.
#[derive(Debug, Default)]
pub struct CrashTally {
    entries: BTreeMap<RequestFingerprint, TallyEntry>,
    answers: AnswerCounts,
}

#[derive(Debug)]
struct TallyEntry {
    /// Distinct incarnations of upstreams that crashed.
    upstreams: SmallVec<[UpstreamIncarnation; QUARANTINE_UPSTREAMS]>,
    /// Answers shortly before the first crash, and since.
    answers: u32,
    /// Time of the last crash.
    last: MonotonicTime,
}

impl CrashTally {
    /// Whether no crash is held; the caller can then skip computing a fingerprint.
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
        let answers = self.answers.recent(&request, now);
        let entry = self.entries.entry(request).or_insert_with(|| TallyEntry {
            upstreams: SmallVec::new(),
            answers,
            last: now,
        });
        entry.last = now;
        if !entry.upstreams.contains(upstream) {
            entry.upstreams.push(upstream.clone());
        }
        entry.is_quarantined(now).then_some(&entry.upstreams[..])
    }

    /// Number of upstreams that crashed while they ran the request.
    pub fn crashed(&self, request: &RequestFingerprint) -> usize {
        let entry = self.entries.get(request);
        entry.map_or(0, |entry| entry.upstreams.len())
    }

    /// Records a complete answer to the request from an upstream that did not crash.
    pub fn record_answer(&mut self, request: RequestFingerprint, now: MonotonicTime) {
        self.answers.add(request, now);
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.answers += 1;
        }
    }

    /// Whether too many upstreams crashed for the request to run again at `now`.
    pub fn is_quarantined(&self, request: &RequestFingerprint, now: MonotonicTime) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|entry| entry.is_quarantined(now))
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

impl TallyEntry {
    fn is_quarantined(&self, now: MonotonicTime) -> bool {
        let crashes = self.upstreams.len();
        crashes >= QUARANTINE_UPSTREAMS
            && (self.answers as usize) < crashes * ANSWERS_PER_CRASH
            && now.since(self.last) < QUARANTINE_TIME
    }
}
