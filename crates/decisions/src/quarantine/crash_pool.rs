//! Crashes and suspects at one router.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::run_table::RunTable;
use super::suspect_entry::{CrashSite, SuspectEntry, is_same_crash};
use super::{CrashDelta, CrashRecord, RequestFingerprint, RunState, SurvivalRecord};
use crate::names::HostName;
use crate::time::UnixMillis;

/// Most requests remembered.
const ENTRY_LIMIT: usize = 4_096;
/// Time after a crash within which every router's report of it arrives, in milliseconds.
const SETTLE_MS: u64 = 200;
/// Time after which a held suspect asks again, in milliseconds.
const RETRY_MS: u64 = 50;
/// Longest time for which a suspect waits for other requests to leave its upstream, in milliseconds.
const DRAIN_MS: u64 = 1_000;

closed_set! {
    /// What is held against a request.
    pub enum Suspicion {
        /// Nothing.
        Clear,
        /// An upstream crashed while it ran, and nothing else explains that yet.
        Suspect,
        /// It crashed two upstreams; it is not run again.
        Quarantined,
    }
}

closed_set! {
    /// How the run of a suspect ended.
    pub enum RunOutcome {
        /// Its upstream answered and stayed up.
        Survived,
        /// Its upstream crashed; see [`CrashPool::record_crash`].
        Crashed,
        /// It was cancelled or given up.
        Abandoned,
    }
}

/// Where a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// On any upstream, but rather not on these, which run suspects.
    Shared {
        /// Upstreams that run suspects.
        avoid: SmallVec<[HostName; 4]>,
    },
    /// On this upstream alone.
    Isolated {
        /// Upstream that no other suspect uses.
        upstream: HostName,
        /// Longest time to wait until the upstream has no other request, in milliseconds.
        drain_ms: u64,
    },
    /// Nowhere yet; ask again after this time.
    Wait {
        /// Time in milliseconds.
        ask_again_ms: u64,
    },
    /// Nowhere: answer it with a final error.
    Quarantined,
}

/// Crashes and suspects, bounded and expiring.
#[derive(Debug)]
pub struct CrashPool {
    /// Number of the last change.
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

    /// Takes in that `upstream` crashed with these requests of this router in flight.
    ///
    /// Call it before [`Self::finish_run`] for the suspect that ran there.
    pub fn record_crash(
        &mut self,
        upstream: &HostName,
        in_flight: &[RequestFingerprint],
        now: UnixMillis,
    ) {
        for fingerprint in in_flight {
            let site = CrashSite {
                at: now,
                upstream: upstream.clone(),
                isolated: self.runs.holds(fingerprint, upstream, now),
            };
            self.add_crash(*fingerprint, &site);
        }
    }

    /// What is held against `fingerprint`.
    pub fn suspicion(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> Suspicion {
        let Some(entry) = self.entries.get(fingerprint) else {
            return Suspicion::Clear;
        };
        let is_explained = |site: &CrashSite| self.is_explained(fingerprint, site, now);
        if entry.is_quarantined(now, is_explained) || entry.is_culprit(now) {
            return Suspicion::Quarantined;
        }
        let unexplained = entry.open_crashes().any(|site| !is_explained(site));
        if unexplained && !entry.is_expired(now) {
            Suspicion::Suspect
        } else {
            Suspicion::Clear
        }
    }

    /// Where `fingerprint` may run, given the upstreams that it is allowed on.
    ///
    /// An isolated place is taken at once; report its end with [`Self::finish_run`].
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
        let wait = |ask_again_ms| Placement::Wait { ask_again_ms };
        let settled = self.settle_time(fingerprint, now);
        if settled > 0 {
            return wait(settled);
        }
        if self.runs.is_running(fingerprint, now) {
            return wait(RETRY_MS);
        }
        let free = self.free_upstreams(fingerprint, upstreams, now);
        let rank = self.runs.waiting_rank(fingerprint, now);
        let Some(upstream) = free.get(rank).map(|host| (*host).clone()) else {
            return wait(RETRY_MS);
        };
        let state = RunState::Running(upstream.clone());
        self.change_runs(|runs, revision| runs.mark(fingerprint, state, now, revision));
        Placement::Isolated {
            upstream,
            drain_ms: DRAIN_MS,
        }
    }

    /// Takes in how the run of a suspect ended, or that a held one was given up.
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

    /// Joins what a peer sent; any order and repetition gives the same pool.
    pub fn merge(&mut self, delta: &CrashDelta) {
        for crash in &delta.crashes {
            let site = CrashSite {
                at: crash.at,
                upstream: crash.upstream.clone(),
                isolated: crash.isolated,
            };
            self.add_crash(crash.fingerprint, &site);
        }
        for survival in &delta.survivals {
            self.add_survival(survival.fingerprint, survival.at);
        }
        for run in &delta.runs {
            self.change_runs(|runs, revision| runs.put(run.clone(), revision));
        }
    }

    /// Everything learned after revision `since`, to be sent to a peer.
    pub fn delta_since(&self, since: u64) -> CrashDelta {
        let mut delta = CrashDelta::default();
        for (fingerprint, entry) in self.entries.iter().filter(|(_, e)| e.revision > since) {
            let fingerprint = *fingerprint;
            let crashes = entry.crashes().iter().map(|site| CrashRecord {
                at: site.at,
                upstream: site.upstream.clone(),
                fingerprint,
                isolated: site.isolated,
            });
            delta.crashes.extend(crashes);
            let survival = entry.survived();
            delta
                .survivals
                .extend(survival.map(|at| SurvivalRecord { fingerprint, at }));
        }
        delta.runs = self.runs.changed_since(since);
        delta
    }

    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Forgets what is expired; call it every few seconds.
    pub fn expire(&mut self, now: UnixMillis) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
        self.runs.expire(now);
    }

    /// Requests that are quarantined.
    pub fn quarantined(&self, now: UnixMillis) -> impl Iterator<Item = &RequestFingerprint> {
        self.entries
            .keys()
            .filter(move |fingerprint| self.suspicion(fingerprint, now) == Suspicion::Quarantined)
    }

    /// Whether another request is known to have caused the crash of `fingerprint` at `site`.
    fn is_explained(
        &self,
        fingerprint: &RequestFingerprint,
        site: &CrashSite,
        now: UnixMillis,
    ) -> bool {
        self.entries
            .iter()
            .filter(|(other, entry)| *other != fingerprint && entry.is_culprit(now))
            .any(|(_, entry)| entry.crashes().iter().any(|own| is_same_crash(own, site)))
    }

    /// Milliseconds until every report of the last crash of `fingerprint` is in.
    fn settle_time(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> u64 {
        let entry = self.entries.get(fingerprint);
        let last = entry.and_then(SuspectEntry::last_crash);
        last.map_or(0, |last| SETTLE_MS.saturating_sub(now.since(last)))
    }

    /// Upstreams without a suspect; those that `fingerprint` already crashed come last.
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
        free.sort_by_key(|host| (entry.is_some_and(|entry| entry.crashed(host)), *host));
        free
    }

    /// Lets `change` change the runs under a new revision.
    fn change_runs(&mut self, change: impl FnOnce(&mut RunTable, u64)) {
        self.revision += 1;
        change(&mut self.runs, self.revision);
    }

    fn add_crash(&mut self, fingerprint: RequestFingerprint, site: &CrashSite) {
        self.change_entry(fingerprint, |entry| entry.add_crash(site));
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
