//! A router's pooled evidence about all candidates.

use std::collections::BTreeMap;

use super::candidate_pool::CandidatePool;
use super::{
    CandidateDelta, FleetView, GuardCounts, GuardDecision, GuardDelta, GuardPolicy, RouterId,
    TripNotice,
};
use crate::config::{RolloutSpec, TripRecord};
use crate::names::{VersionName, WorkspaceName};
use crate::time::UnixMillis;

/// Maximum number of candidates held at once.
const CANDIDATE_LIMIT: usize = 64;

closed_set! {
    /// Outcome of a request that was sent to a candidate; recorded once for each request.
    pub enum AnswerOutcome {
        /// Rated good.
        Good,
        /// Rated bad.
        Bad,
        /// Answered, but the rating never arrived.
        GivenUp,
        /// Ended without an answer to rate.
        Unanswered,
    }
}

/// Pooled evidence with bounded numbers of candidates, routers and workspaces.
#[derive(Debug)]
pub struct GuardPool {
    own: RouterId,
    policy: GuardPolicy,
    /// Counter that each change increments.
    revision: u64,
    leaving: bool,
    candidates: BTreeMap<(VersionName, u64), CandidatePool>,
}

impl GuardPool {
    /// An empty pool of the router `own`.
    pub fn new(own: RouterId, policy: GuardPolicy) -> Self {
        Self {
            own,
            policy,
            revision: 0,
            leaving: false,
            candidates: BTreeMap::new(),
        }
    }

    /// Whether a request may be sent to `version` now.
    ///
    /// If it is sent, call [`Self::record_served`] under the same lock.
    pub fn may_serve(
        &mut self,
        version: &VersionName,
        rollout: &RolloutSpec,
        fleet: FleetView<'_>,
    ) -> GuardDecision {
        let (own, policy, leaving) = (self.own.clone(), self.policy, self.leaving);
        self.update_candidate(
            version,
            rollout.epoch,
            |candidate, revision| match candidate.decide(&own, rollout, fleet, &policy, revision) {
                GuardDecision::Serve if leaving => GuardDecision::CapReached,
                decision => decision,
            },
        )
        .unwrap_or(GuardDecision::PoolFull)
    }

    /// Counts a request that was sent to `version`.
    pub fn record_served(&mut self, version: &VersionName, epoch: u64, workspace: &WorkspaceName) {
        let own = self.own.clone();
        self.update_candidate(version, epoch, |candidate, revision| {
            candidate.record_served(&own, workspace, revision);
        });
    }

    /// Counts the outcome of a request counted by [`Self::record_served`].
    pub fn record_outcome(
        &mut self,
        version: &VersionName,
        epoch: u64,
        workspace: &WorkspaceName,
        outcome: AnswerOutcome,
    ) {
        let own = self.own.clone();
        self.update_candidate(version, epoch, |candidate, revision| {
            candidate.record_outcome(&own, workspace, outcome, revision);
        });
    }

    /// Merges a peer's delta; order and repetition do not change the result.
    pub fn merge(&mut self, delta: &GuardDelta) {
        let own = self.own.clone();
        for candidate_delta in &delta.candidates {
            let CandidateDelta { version, epoch, .. } = candidate_delta;
            self.update_candidate(version, *epoch, |candidate, revision| {
                candidate.merge(&own, candidate_delta, revision);
            });
        }
    }

    /// Tests the pooled evidence and returns a trip if it was not known before.
    ///
    /// `workspaces` is the number of workspaces that the configuration holds. Call this
    /// after each rating and each merge.
    pub fn evaluate(
        &mut self,
        version: &VersionName,
        rollout: &RolloutSpec,
        workspaces: usize,
        now: UnixMillis,
    ) -> Option<TripNotice> {
        let (own, policy) = (self.own.clone(), self.policy);
        self.update_candidate(version, rollout.epoch, |candidate, revision| {
            candidate.evaluate(&own, rollout, workspaces, &policy, now, revision)
        })?
    }

    /// The trip of `version` in `epoch`, if any.
    pub fn tripped(&self, version: &VersionName, epoch: u64) -> Option<&TripNotice> {
        self.candidate(version, epoch)?.trip()
    }

    /// All known trips as records of the configuration stream.
    ///
    /// A router appends those that its folded configuration lacks, also after an outage of the
    /// log; the fold ignores duplicates.
    pub fn trip_records(&self) -> Vec<TripRecord> {
        self.candidates
            .iter()
            .filter_map(|((version, epoch), candidate)| {
                let trip = candidate.trip()?;
                Some(TripRecord {
                    version: version.clone(),
                    epoch: *epoch,
                    router: trip.router.clone(),
                    reason: trip.reason.clone(),
                    time: trip.time,
                })
            })
            .collect()
    }

    /// All changes after revision `since`, for a peer that may not receive from every router.
    ///
    /// Continue from the value of [`Self::revision`] at the time of this call.
    pub fn delta_since(&self, since: u64) -> GuardDelta {
        self.delta_of(since, |_| true)
    }

    /// Changes of this router's own row and trips after revision `since`; sufficient for a peer
    /// that receives from every router itself.
    pub fn own_delta_since(&self, since: u64) -> GuardDelta {
        self.delta_of(since, |router| *router == self.own)
    }

    fn delta_of(&self, since: u64, includes: impl Fn(&RouterId) -> bool) -> GuardDelta {
        let candidates = self
            .candidates
            .iter()
            .filter_map(|((version, epoch), candidate)| {
                let (rows, trip) = candidate.changes(since, &includes);
                (!rows.is_empty() || trip.is_some()).then(|| CandidateDelta {
                    version: version.clone(),
                    epoch: *epoch,
                    rows,
                    trip,
                })
            })
            .collect();
        GuardDelta { candidates }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Fleet-wide counts, as far as this router knows them.
    pub fn totals(&self, version: &VersionName, epoch: u64) -> GuardCounts {
        self.candidate(version, epoch)
            .map_or_else(GuardCounts::default, CandidatePool::totals)
    }

    /// Unrated answers of this router that count against its part of the limit.
    pub fn usage(&self, version: &VersionName, epoch: u64) -> u64 {
        self.candidate(version, epoch)
            .map_or(0, |candidate| candidate.usage(&self.own))
    }

    /// Removes candidates for which `is_current` is false; call it when the configuration changes.
    pub fn retain(&mut self, is_current: impl Fn(&VersionName, u64) -> bool) {
        self.candidates
            .retain(|(version, epoch), _| is_current(version, *epoch));
    }

    /// Returns the part of a dead router to the others; its unrated answers count no longer.
    ///
    /// Call it only for a router that can no longer dispatch work: it must be off the host list,
    /// and have sent nothing for longer than any freshness lease lasts.
    pub fn reclaim_part(&mut self, router: &RouterId) {
        for candidate in self.candidates.values_mut() {
            candidate.reclaim_part(router);
        }
    }

    /// Stops serving candidates, and frees each candidate's part once it has no unrated answer.
    ///
    /// Returns whether all parts are free.
    pub fn leave(&mut self) -> bool {
        self.leaving = true;
        self.revision += 1;
        let (own, revision) = (&self.own, self.revision);
        let used = self
            .candidates
            .values_mut()
            .filter_map(|candidate| (!candidate.close(own, revision)).then_some(()))
            .count();
        used == 0
    }

    fn candidate(&self, version: &VersionName, epoch: u64) -> Option<&CandidatePool> {
        self.candidates.get(&(version.clone(), epoch))
    }

    fn update_candidate<R>(
        &mut self,
        version: &VersionName,
        epoch: u64,
        action: impl FnOnce(&mut CandidatePool, u64) -> R,
    ) -> Option<R> {
        let key = (version.clone(), epoch);
        self.revision += 1;
        if !self.candidates.contains_key(&key) {
            if self.candidates.len() >= CANDIDATE_LIMIT {
                return None;
            }
            let candidate = CandidatePool::new(&self.own, self.revision);
            self.candidates.insert(key.clone(), candidate);
        }
        let candidate = self.candidates.get_mut(&key)?;
        Some(action(candidate, self.revision))
    }
}
