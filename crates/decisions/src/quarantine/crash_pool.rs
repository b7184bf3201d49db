//! Crashes and suspects at one router.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::suspect_entry::{CrashSite, SuspectEntry, is_same_crash};
use super::{CrashDelta, CrashRecord, RequestFingerprint, RunState, SurvivalRecord, SuspectRun};
use crate::names::HostName;
use crate::time::UnixMillis;

/// Most requests remembered.
const ENTRY_LIMIT: usize = 4_096;
/// Most runs of suspects remembered.
const RUN_LIMIT: usize = 1_024;
/// Time after a crash within which every router's report of it arrives, in milliseconds.
const SETTLE_MS: u64 = 200;
/// Time after which a held suspect asks again, in milliseconds.
const RETRY_MS: u64 = 50;
/// Time after which a waiting mark is renewed, in milliseconds.
const RENEW_MS: u64 = 1_000;
/// Time after which a waiting mark that was not renewed no longer counts, in milliseconds.
const WAITING_MS: u64 = 5_000;
/// Time after which a run counts as ended, for example since its router died, in milliseconds.
const RUNNING_MS: u64 = 120_000;
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
    own: HostName,
    /// Number of the last change.
    revision: u64,
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
    /// Latest run of a suspect at a router, with the revision of the change.
    runs: BTreeMap<(RequestFingerprint, HostName), (SuspectRun, u64)>,
}

impl CrashPool {
    /// An empty pool of the router on host `own`.
    pub fn new(own: HostName) -> Self {
        Self {
            own,
            revision: 0,
            entries: BTreeMap::new(),
            runs: BTreeMap::new(),
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
                isolated: self.runs_alone(fingerprint, upstream, now),
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
                avoid: self.suspect_upstreams(now).cloned().collect(),
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
        self.renew_waiting(fingerprint, now);
        let wait = |ask_again_ms| Placement::Wait { ask_again_ms };
        let settled = self.settle_time(fingerprint, now);
        if settled > 0 {
            return wait(settled);
        }
        if self.is_running(fingerprint, now) {
            return wait(RETRY_MS);
        }
        let free = self.free_upstreams(fingerprint, upstreams, now);
        let rank = self.waiting_rank(fingerprint, now);
        let Some(upstream) = free.get(rank).map(|host| (*host).clone()) else {
            return wait(RETRY_MS);
        };
        self.mark(fingerprint, RunState::Running(upstream.clone()), now);
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
        let key = (*fingerprint, self.own.clone());
        if self.runs.contains_key(&key) {
            self.mark(fingerprint, RunState::Ended, now);
        }
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
            self.put_run(run.clone());
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
        let runs = self.runs.values().filter(|(_, rev)| *rev > since);
        delta.runs = runs.map(|(run, _)| run.clone()).collect();
        delta
    }

    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Forgets what is expired; call it every few seconds.
    pub fn expire(&mut self, now: UnixMillis) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
        self.runs
            .retain(|_, (run, _)| now.since(run.at) < RUNNING_MS);
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

    /// Whether this router runs `fingerprint` on `upstream` as the only suspect.
    fn runs_alone(
        &self,
        fingerprint: &RequestFingerprint,
        upstream: &HostName,
        now: UnixMillis,
    ) -> bool {
        self.active_runs(now).any(|run| {
            run.fingerprint == *fingerprint
                && run.router == self.own
                && run.state == RunState::Running(upstream.clone())
        })
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
        let taken: Vec<&HostName> = self.suspect_upstreams(now).collect();
        let entry = self.entries.get(fingerprint);
        let mut free: Vec<&HostName> = upstreams
            .iter()
            .filter(|host| !taken.contains(host))
            .collect();
        free.sort_by_key(|host| (entry.is_some_and(|entry| entry.crashed(host)), *host));
        free
    }

    /// Place of `fingerprint` among the suspects that wait, the same on every router.
    fn waiting_rank(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> usize {
        let mut waiting: Vec<&RequestFingerprint> = self
            .active_runs(now)
            .filter(|run| run.state == RunState::Waiting && run.fingerprint < *fingerprint)
            .map(|run| &run.fingerprint)
            .collect();
        waiting.dedup();
        waiting.len()
    }

    fn suspect_upstreams(&self, now: UnixMillis) -> impl Iterator<Item = &HostName> {
        self.active_runs(now).filter_map(|run| match &run.state {
            RunState::Running(upstream) => Some(upstream),
            RunState::Waiting | RunState::Ended => None,
        })
    }

    fn is_running(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> bool {
        self.active_runs(now)
            .any(|run| run.fingerprint == *fingerprint && matches!(run.state, RunState::Running(_)))
    }

    fn active_runs(&self, now: UnixMillis) -> impl Iterator<Item = &SuspectRun> {
        self.runs
            .values()
            .map(|(run, _)| run)
            .filter(move |run| is_active(run, now))
    }

    fn renew_waiting(&mut self, fingerprint: &RequestFingerprint, now: UnixMillis) {
        let known = self.runs.get(&(*fingerprint, self.own.clone()));
        let is_fresh = known.is_some_and(|(run, _)| match run.state {
            RunState::Waiting => now.since(run.at) < RENEW_MS,
            RunState::Running(_) => is_active(run, now),
            RunState::Ended => false,
        });
        if !is_fresh {
            self.mark(fingerprint, RunState::Waiting, now);
        }
    }

    fn mark(&mut self, fingerprint: &RequestFingerprint, state: RunState, now: UnixMillis) {
        let known = self.runs.get(&(*fingerprint, self.own.clone()));
        let last = known.map_or(0, |(run, _)| run.sequence);
        let run = SuspectRun {
            fingerprint: *fingerprint,
            router: self.own.clone(),
            sequence: now.0.max(last + 1),
            state,
            at: now,
        };
        self.put_run(run);
    }

    fn put_run(&mut self, run: SuspectRun) {
        let key = (run.fingerprint, run.router.clone());
        let known = self.runs.get(&key);
        let is_news = known.is_none_or(|(known, _)| known.sequence < run.sequence);
        if is_news && (known.is_some() || self.runs.len() < RUN_LIMIT) {
            self.revision += 1;
            self.runs.insert(key, (run, self.revision));
        }
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

fn is_active(run: &SuspectRun, now: UnixMillis) -> bool {
    let lifetime_ms = match run.state {
        RunState::Waiting => WAITING_MS,
        RunState::Running(_) => RUNNING_MS,
        RunState::Ended => 0,
    };
    now.since(run.at) < lifetime_ms
}
