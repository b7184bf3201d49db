//! States of suspects, waiting or running, at all routers of the fleet.

use std::collections::BTreeMap;

use super::{RequestFingerprint, SuspectRun, SuspectState};
use crate::names::HostName;
use crate::time::UnixMillis;

/// Maximum number of runs held.
const RUN_LIMIT: usize = 1_024;
/// Time after which a waiting entry is renewed, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 1_000;
/// Time after which a waiting entry that was not renewed is ignored, in milliseconds.
const WAITING_TIMEOUT_MS: u64 = 5_000;
/// Time after which a run counts as ended, for example because its router died, in milliseconds.
const RUNNING_TIMEOUT_MS: u64 = 120_000;

/// Latest state of each suspect at each router.
#[derive(Debug)]
pub(super) struct RunTable {
    own: HostName,
    /// Runs with the revision of the pool at which they last changed.
    runs: BTreeMap<(RequestFingerprint, HostName), (SuspectRun, u64)>,
}

impl RunTable {
    pub(super) fn new(own: HostName) -> Self {
        Self {
            own,
            runs: BTreeMap::new(),
        }
    }

    /// Merges a run; the record with the higher sequence number is kept.
    pub(super) fn merge_run(&mut self, run: SuspectRun, revision: u64) {
        let key = (run.fingerprint, run.router.clone());
        let known = self.runs.get(&key);
        let is_newer = known.is_none_or(|(known, _)| known.sequence < run.sequence);
        if is_newer && (known.is_some() || self.runs.len() < RUN_LIMIT) {
            self.runs.insert(key, (run, revision));
        }
    }

    /// Records this router's state of `fingerprint` under a new sequence number.
    pub(super) fn set_state(
        &mut self,
        fingerprint: &RequestFingerprint,
        state: SuspectState,
        now: UnixMillis,
        revision: u64,
    ) {
        let last = self.own_run(fingerprint).map_or(0, |run| run.sequence);
        let run = SuspectRun {
            fingerprint: *fingerprint,
            router: self.own.clone(),
            sequence: now.0.max(last + 1),
            state,
            at: now,
        };
        self.merge_run(run, revision);
    }

    /// Records `fingerprint` as waiting at this router, unless it is running here or was recorded
    /// as waiting recently.
    pub(super) fn renew_waiting(
        &mut self,
        fingerprint: &RequestFingerprint,
        now: UnixMillis,
        revision: u64,
    ) {
        let is_fresh = self
            .own_run(fingerprint)
            .is_some_and(|run| match run.state {
                SuspectState::Waiting => now.since(run.at) < RENEW_INTERVAL_MS,
                SuspectState::Running(_) => is_active(run, now),
                SuspectState::Ended => false,
            });
        if !is_fresh {
            self.set_state(fingerprint, SuspectState::Waiting, now, revision);
        }
    }

    /// Records that this router no longer holds `fingerprint`, if it did.
    pub(super) fn end(&mut self, fingerprint: &RequestFingerprint, now: UnixMillis, revision: u64) {
        if self.own_run(fingerprint).is_some() {
            self.set_state(fingerprint, SuspectState::Ended, now, revision);
        }
    }

    /// Rank of `fingerprint` among the waiting suspects, in the same order on every router.
    pub(super) fn waiting_rank(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> usize {
        let mut waiting: Vec<&RequestFingerprint> = self
            .active(now)
            .filter(|run| run.state == SuspectState::Waiting && run.fingerprint < *fingerprint)
            .map(|run| &run.fingerprint)
            .collect();
        waiting.dedup();
        waiting.len()
    }

    /// Upstreams that run a suspect.
    pub(super) fn upstreams(&self, now: UnixMillis) -> impl Iterator<Item = &HostName> {
        self.active(now).filter_map(|run| match &run.state {
            SuspectState::Running(upstream) => Some(upstream),
            SuspectState::Waiting | SuspectState::Ended => None,
        })
    }

    /// Whether any router runs `fingerprint`.
    pub(super) fn is_running(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> bool {
        self.active(now).any(|run| {
            run.fingerprint == *fingerprint && matches!(run.state, SuspectState::Running(_))
        })
    }

    /// Whether this router runs `fingerprint` on `upstream` as the only suspect.
    pub(super) fn is_own_run_on(
        &self,
        fingerprint: &RequestFingerprint,
        upstream: &HostName,
        now: UnixMillis,
    ) -> bool {
        let run = self.own_run(fingerprint);
        run.is_some_and(|run| {
            is_active(run, now) && run.state == SuspectState::Running(upstream.clone())
        })
    }

    /// Whether this router runs `fingerprint`, and no other router has run it since earlier. Equal times are decided by
    /// the hosts' names.
    pub(super) fn is_own_run_first(
        &self,
        fingerprint: &RequestFingerprint,
        now: UnixMillis,
    ) -> bool {
        let running = self.active(now).filter(|run| {
            run.fingerprint == *fingerprint && matches!(run.state, SuspectState::Running(_))
        });
        let first = running.min_by_key(|run| (run.at, &run.router));
        first.is_some_and(|run| run.router == self.own)
    }

    /// State of `fingerprint` at each router.
    pub(super) fn of(&self, fingerprint: &RequestFingerprint) -> Vec<SuspectRun> {
        let runs = self.runs.values().map(|(run, _)| run);
        runs.filter(|run| run.fingerprint == *fingerprint)
            .cloned()
            .collect()
    }

    /// Runs that changed after revision `since`.
    pub(super) fn changed_since(&self, since: u64) -> Vec<SuspectRun> {
        let changed = self.runs.values().filter(|(_, revision)| *revision > since);
        changed.map(|(run, _)| run.clone()).collect()
    }

    /// Removes runs whose last change is older than [`RUNNING_TIMEOUT_MS`].
    pub(super) fn expire(&mut self, now: UnixMillis) {
        self.runs
            .retain(|_, (run, _)| now.since(run.at) < RUNNING_TIMEOUT_MS);
    }

    fn own_run(&self, fingerprint: &RequestFingerprint) -> Option<&SuspectRun> {
        let known = self.runs.get(&(*fingerprint, self.own.clone()));
        known.map(|(run, _)| run)
    }

    fn active(&self, now: UnixMillis) -> impl Iterator<Item = &SuspectRun> {
        self.runs
            .values()
            .map(|(run, _)| run)
            .filter(move |run| is_active(run, now))
    }
}

fn is_active(run: &SuspectRun, now: UnixMillis) -> bool {
    let lifetime_ms = match run.state {
        SuspectState::Waiting => WAITING_TIMEOUT_MS,
        SuspectState::Running(_) => RUNNING_TIMEOUT_MS,
        SuspectState::Ended => 0,
    };
    now.since(run.at) < lifetime_ms
}
