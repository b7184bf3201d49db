//! A router's pool of crashes and suspects.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::run_table::RunTable;
use super::suspect_entry::{ObservedCrash, SuspectEntry, is_same_crash};
use super::{CrashDelta, CrashRecord, RequestFingerprint, SurvivalRecord, SuspectState};
use crate::names::HostName;
use crate::time::UnixMillis;

/// Maximum number of requests held.
const ENTRY_LIMIT: usize = 4_096;
/// Time after a crash within which the reports of all routers arrive, in milliseconds.
const SETTLE_MS: u64 = 200;
/// Interval at which a held suspect requests a placement, in milliseconds.
const PLACEMENT_INTERVAL_MS: u64 = 50;
/// Maximum time for which a suspect waits until its upstream has no other request, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 1_000;

closed_set! {
    /// Suspicion that a request crashes upstreams.
    pub enum Suspicion {
        /// Not suspected.
        Clear,
        /// An upstream crashed while it ran, and no other request is known to be the cause yet.
        Suspect,
        /// It crashed two upstreams, or one upstream twice, and must not run again.
        Quarantined,
    }
}

closed_set! {
    /// Outcome of the run of a suspect.
    pub enum RunOutcome {
        /// Its upstream answered and did not crash.
        Survived,
        /// Its upstream crashed; see [`CrashPool::record_crash`].
        Crashed,
        /// It was cancelled or abandoned.
        Abandoned,
    }
}

/// Where a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// On any upstream, preferably none that runs a suspect.
    Shared {
        /// Upstreams that run suspects.
        avoid: SmallVec<[HostName; 4]>,
    },
    /// On this upstream only, as the only suspect.
    Isolated {
        /// Upstream without another suspect.
        upstream: HostName,
        /// Maximum time to wait until the upstream has no other request, in milliseconds.
        drain_ms: u64,
    },
    /// Nowhere yet; call [`CrashPool::place`] again later.
    Wait {
        /// Time until the next call, in milliseconds.
        retry_after_ms: u64,
    },
    /// Nowhere; the request gets a final error.
    Quarantined,
}

/// Crashes and suspects, bounded in number and expiring.
#[derive(Debug)]
pub struct CrashPool {
    /// Counter that each change increments.
    revision: u64,
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
    runs: RunTable,
}

impl CrashPool {
    /// An empty pool of the router on host `own`.
    pub fn new(own: HostName) -> Self {
        Self {
            revision: 0,
            entries: BTreeMap::new(),
            runs: RunTable::new(own),
        }
    }

    /// Records a crash of `upstream` with these requests of this router in flight.
    ///
    /// Call it before [`Self::finish_run`] for a suspect that ran there.
    pub fn record_crash(
        &mut self,
        upstream: &HostName,
        in_flight: &[RequestFingerprint],
        now: UnixMillis,
    ) {
        for fingerprint in in_flight {
            let crash = ObservedCrash {
                at: now,
                upstream: upstream.clone(),
                isolated: self.runs.is_own_run_on(fingerprint, upstream, now),
            };
            self.add_crash(*fingerprint, &crash);
        }
    }

    /// Suspicion against `fingerprint`.
    pub fn suspicion(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> Suspicion {
        let Some(entry) = self.entries.get(fingerprint) else {
            return Suspicion::Clear;
        };
        let is_attributed = |crash: &ObservedCrash| self.is_attributed(fingerprint, crash, now);
        if entry.is_quarantined(now, is_attributed) || entry.is_culprit(now) {
            return Suspicion::Quarantined;
        }
        let unattributed = entry
            .crashes_since_survival()
            .any(|crash| !is_attributed(crash));
        if unattributed && !entry.is_expired(now) {
            Suspicion::Suspect
        } else {
            Suspicion::Clear
        }
    }

    /// Decides where `fingerprint` may run among the allowed `upstreams`.
    ///
    /// An isolated placement counts as a run from now on; report its end with [`Self::finish_run`].
    pub fn place(
        &mut self,
        fingerprint: &RequestFingerprint,
        upstreams: &[HostName],
        now: UnixMillis,
    ) -> Placement {
        match self.suspicion(fingerprint, now) {
            Suspicion::Quarantined => Placement::Quarantined,
            Suspicion::Clear => Placement::Shared {
                avoid: self.runs.upstreams(now).cloned().collect(),
            },
            Suspicion::Suspect => self.place_suspect(fingerprint, upstreams, now),
        }
    }

    fn place_suspect(
        &mut self,
        fingerprint: &RequestFingerprint,
        upstreams: &[HostName],
        now: UnixMillis,
    ) -> Placement {
        self.change_runs(|runs, revision| runs.renew_waiting(fingerprint, now, revision));
        let wait = |retry_after_ms| Placement::Wait { retry_after_ms };
        let settle_ms = self.remaining_settle_ms(fingerprint, now);
        if settle_ms > 0 {
            return wait(settle_ms);
        }
        if self.runs.is_running(fingerprint, now) {
            return wait(PLACEMENT_INTERVAL_MS);
        }
        let free = self.free_upstreams(fingerprint, upstreams, now);
        let rank = self.runs.waiting_rank(fingerprint, now);
        let Some(upstream) = free.get(rank).map(|host| (*host).clone()) else {
            return wait(PLACEMENT_INTERVAL_MS);
        };
        let state = SuspectState::Running(upstream.clone());
        self.change_runs(|runs, revision| runs.set_state(fingerprint, state, now, revision));
        Placement::Isolated {
            upstream,
            drain_ms: DRAIN_TIMEOUT_MS,
        }
    }

    /// Whether the isolated placement of `fingerprint` still holds once the other routers know of it.
    ///
    /// It does not when the request was meanwhile quarantined or cleared, or when another router placed it earlier. Routers
    /// that placed it at the same time agree on one of them, since all compare the same records.
    pub fn may_start_run(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> bool {
        self.suspicion(fingerprint, now) == Suspicion::Suspect
            && self.runs.is_own_run_first(fingerprint, now)
    }

    /// Records the outcome of the run of a suspect, or that a held suspect was abandoned.
    pub fn finish_run(
        &mut self,
        fingerprint: &RequestFingerprint,
        outcome: RunOutcome,
        now: UnixMillis,
    ) {
        self.change_runs(|runs, revision| runs.end(fingerprint, now, revision));
        if outcome == RunOutcome::Survived {
            self.add_survival(*fingerprint, now);
        }
    }

    /// Merges a peer's delta; order and repetition do not change the result.
    pub fn merge(&mut self, delta: &CrashDelta) {
        for record in &delta.crashes {
            let crash = ObservedCrash {
                at: record.at,
                upstream: record.upstream.clone(),
                isolated: record.isolated,
            };
            self.add_crash(record.fingerprint, &crash);
        }
        for survival in &delta.survivals {
            self.add_survival(survival.fingerprint, survival.at);
        }
        for run in &delta.runs {
            self.change_runs(|runs, revision| runs.merge_run(run.clone(), revision));
        }
    }

    /// All changes after revision `since`, to be sent to a peer.
    pub fn delta_since(&self, since: u64) -> CrashDelta {
        let changed = self.entries.iter().filter(|(_, e)| e.revision > since);
        CrashDelta {
            runs: self.runs.changed_since(since),
            ..entries_delta(changed)
        }
    }

    /// All that is known of `fingerprint`, to be sent to a peer.
    pub fn delta_of(&self, fingerprint: &RequestFingerprint) -> CrashDelta {
        CrashDelta {
            runs: self.runs.of(fingerprint),
            ..entries_delta(self.entries.get_key_value(fingerprint).into_iter())
        }
    }

    /// All that is known of the requests that run, by `delta`, as suspects: the reply to a router that announces a run.
    pub fn reply_to(&self, delta: &CrashDelta) -> CrashDelta {
        let mut reply = CrashDelta::default();
        for run in &delta.runs {
            if matches!(run.state, SuspectState::Running(_)) {
                reply.append(self.delta_of(&run.fingerprint));
            }
        }
        reply
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Removes expired entries and runs; call it every few seconds.
    pub fn expire(&mut self, now: UnixMillis) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
        self.runs.expire(now);
    }

    /// Requests in quarantine at `now`.
    pub fn quarantined(&self, now: UnixMillis) -> impl Iterator<Item = &RequestFingerprint> {
        self.entries
            .keys()
            .filter(move |fingerprint| self.suspicion(fingerprint, now) == Suspicion::Quarantined)
    }

    /// Whether `crash`, recorded for `fingerprint`, is attributed to another request.
    fn is_attributed(
        &self,
        fingerprint: &RequestFingerprint,
        crash: &ObservedCrash,
        now: UnixMillis,
    ) -> bool {
        self.entries
            .iter()
            .filter(|(other, entry)| *other != fingerprint && entry.is_culprit(now))
            .any(|(_, entry)| entry.crashes().iter().any(|own| is_same_crash(own, crash)))
    }

    /// Milliseconds until all reports of the last crash of `fingerprint` have arrived.
    fn remaining_settle_ms(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> u64 {
        let entry = self.entries.get(fingerprint);
        let last = entry.and_then(SuspectEntry::last_crash);
        last.map_or(0, |last| SETTLE_MS.saturating_sub(now.since(last)))
    }

    /// Upstreams without a suspect, sorted; those that `fingerprint` already crashed come last.
    fn free_upstreams<'a>(
        &self,
        fingerprint: &RequestFingerprint,
        upstreams: &'a [HostName],
        now: UnixMillis,
    ) -> Vec<&'a HostName> {
        let taken: Vec<&HostName> = self.runs.upstreams(now).collect();
        let entry = self.entries.get(fingerprint);
        let mut free: Vec<&HostName> = upstreams
            .iter()
            .filter(|host| !taken.contains(host))
            .collect();
        free.sort_by_key(|host| (entry.is_some_and(|entry| entry.has_crashed(host)), *host));
        free
    }

    /// Applies `change` to the runs under a new revision.
    fn change_runs(&mut self, change: impl FnOnce(&mut RunTable, u64)) {
        self.revision += 1;
        change(&mut self.runs, self.revision);
    }

    fn add_crash(&mut self, fingerprint: RequestFingerprint, crash: &ObservedCrash) {
        self.change_entry(fingerprint, |entry| entry.add_crash(crash));
    }

    fn add_survival(&mut self, fingerprint: RequestFingerprint, at: UnixMillis) {
        if self.entries.contains_key(&fingerprint) {
            self.change_entry(fingerprint, |entry| entry.add_survival(at));
        }
    }

    fn change_entry(
        &mut self,
        fingerprint: RequestFingerprint,
        change: impl FnOnce(&mut SuspectEntry) -> bool,
    ) {
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= ENTRY_LIMIT {
            self.evict_oldest();
        }
        let entry = self.entries.entry(fingerprint).or_default();
        if change(entry) {
            self.revision += 1;
            entry.revision = self.revision;
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.last_crash());
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}

/// Crashes and survivals of `entries`.
fn entries_delta<'a>(
    entries: impl Iterator<Item = (&'a RequestFingerprint, &'a SuspectEntry)>,
) -> CrashDelta {
    let mut delta = CrashDelta::default();
    for (fingerprint, entry) in entries {
        let fingerprint = *fingerprint;
        let crashes = entry.crashes().iter().map(|crash| CrashRecord {
            at: crash.at,
            upstream: crash.upstream.clone(),
            fingerprint,
            isolated: crash.isolated,
        });
        delta.crashes.extend(crashes);
        let survival = entry.survived();
        delta
            .survivals
            .extend(survival.map(|at| SurvivalRecord { fingerprint, at }));
    }
    delta
}
