//! Pooled evidence about one candidate, a version in one epoch of its roll-out.

use std::collections::{BTreeMap, BTreeSet};

use super::limit_part::limit_part;
use super::pooled_totals::PooledTotals;
use super::{
    AnswerOutcome, CandidateDelta, FleetView, GuardCounts, GuardDecision, GuardPolicy, GuardRow,
    RouterId, SequentialTest, TripNotice,
};
use crate::config::RolloutSpec;
use crate::names::WorkspaceName;
use crate::time::UnixMillis;

/// Maximum number of routers counted for one candidate, including dead ones.
const ROUTER_LIMIT: usize = 64;
/// Maximum number of workspaces that a row counts separately.
const WORKSPACE_LIMIT: usize = 256;
/// Number of rated answers after which one answer whose rating never arrived no longer counts
/// against the part.
const RATED_PER_GIVEN_UP: u64 = 10;
/// Key of the cell that counts all workspaces above the limit together.
const OTHER_WORKSPACES: &str = "";

/// State of one candidate at one router.
#[derive(Debug)]
pub(super) struct CandidatePool {
    /// Rows by router, including this router's own.
    rows: BTreeMap<RouterId, StampedRow>,
    /// Cached sums of the rows; `None` after a change until they are computed again.
    totals: Option<PooledTotals>,
    /// Routers that share the limit. The set only grows, so that this router's part only shrinks.
    participants: BTreeSet<RouterId>,
    /// Dead participants, whose parts the others may use.
    reclaimed: BTreeSet<RouterId>,
    /// Set permanently once every participant of a complete fleet view has yielded a part to this
    /// router.
    is_entitled: bool,
    /// Limit of unrated answers of the roll-out; 0 until it is known.
    limit: u32,
    trip: Option<TripNotice>,
    /// Revision of the pool at which the trip was recorded.
    trip_revision: u64,
    /// Whether a count grew after the last run of the tests.
    is_untested: bool,
    /// Progress of the tests towards a trip, from 0 to 1.
    trip_progress: f64,
    pooled_test: SequentialTest,
    workspace_tests: BTreeMap<WorkspaceName, SequentialTest>,
}

/// A row and the revision of the pool at which it last changed.
#[derive(Debug)]
struct StampedRow {
    row: GuardRow,
    revision: u64,
}

impl CandidatePool {
    pub(super) fn new(own: &RouterId, revision: u64) -> Self {
        let mut pool = Self {
            rows: BTreeMap::new(),
            totals: None,
            participants: BTreeSet::from([own.clone()]),
            reclaimed: BTreeSet::new(),
            is_entitled: false,
            limit: 0,
            trip: None,
            trip_revision: 0,
            is_untested: true,
            trip_progress: 0.0,
            pooled_test: SequentialTest::default(),
            workspace_tests: BTreeMap::new(),
        };
        pool.update_yielded(own, revision);
        pool
    }

    pub(super) fn trip(&self) -> Option<&TripNotice> {
        self.trip.as_ref()
    }

    pub(super) fn decide(
        &mut self,
        own: &RouterId,
        rollout: &RolloutSpec,
        fleet: FleetView<'_>,
        policy: &GuardPolicy,
        revision: u64,
    ) -> GuardDecision {
        self.limit = rollout.unrated_limit;
        if self.trip.is_some() {
            return GuardDecision::Tripped;
        }
        for router in fleet.routers {
            self.add_participant(router);
        }
        self.update_yielded(own, revision);
        if !fleet.routers.iter().all(|r| self.participants.contains(r)) {
            return GuardDecision::PoolFull;
        }
        if let Some(refusal) = self.entitlement_refusal(own, fleet) {
            return refusal;
        }
        if self.usage(own) < self.ramped_part(own, policy) {
            GuardDecision::Serve
        } else {
            GuardDecision::CapReached
        }
    }

    /// Why this router may not use a part of the limit yet; `None` once it is entitled to one.
    fn entitlement_refusal(
        &mut self,
        own: &RouterId,
        fleet: FleetView<'_>,
    ) -> Option<GuardDecision> {
        if self.is_entitled {
            return None;
        }
        if !fleet.complete {
            return Some(GuardDecision::AwaitingFleet);
        }
        let yielded = |participant: &RouterId| {
            self.rows
                .get(participant)
                .is_some_and(|stamped| stamped.row.yielded.contains(own))
        };
        if !self.sharing_participants().iter().all(yielded) {
            return Some(GuardDecision::AwaitingParts);
        }
        self.is_entitled = true;
        None
    }

    pub(super) fn record_served(
        &mut self,
        own: &RouterId,
        workspace: &WorkspaceName,
        revision: u64,
    ) {
        self.own_cell(own, workspace, revision).served += 1;
    }

    pub(super) fn record_outcome(
        &mut self,
        own: &RouterId,
        workspace: &WorkspaceName,
        outcome: AnswerOutcome,
        revision: u64,
    ) {
        let cell = self.own_cell(own, workspace, revision);
        match outcome {
            AnswerOutcome::Good => cell.good += 1,
            AnswerOutcome::Bad => cell.bad += 1,
            AnswerOutcome::GivenUp => cell.given_up += 1,
            AnswerOutcome::Unanswered => cell.unanswered += 1,
        }
        self.update_yielded(own, revision);
    }

    /// Merges `delta`; rows that change get `revision`.
    pub(super) fn merge(&mut self, own: &RouterId, delta: &CandidateDelta, revision: u64) {
        for row in &delta.rows {
            if self.add_participant(&row.router) {
                self.merge_row(row, revision);
            }
        }
        if let Some(trip) = &delta.trip {
            self.record_trip(trip.clone(), revision);
        }
        self.update_yielded(own, revision);
    }

    fn merge_row(&mut self, row: &GuardRow, revision: u64) {
        let stamped = self.stamped(&row.router);
        if !stamped.row.join(row) {
            return;
        }
        stamped.revision = revision;
        while stamped.row.cells.len() > WORKSPACE_LIMIT + 1 {
            stamped.row.cells.pop_last();
        }
        self.record_growth();
    }

    /// Runs the tests over the pooled counts and returns a new trip.
    pub(super) fn evaluate(
        &mut self,
        own: &RouterId,
        rollout: &RolloutSpec,
        workspaces: usize,
        policy: &GuardPolicy,
        now: UnixMillis,
        revision: u64,
    ) -> Option<TripNotice> {
        self.limit = rollout.unrated_limit;
        if self.trip.is_some() || !self.is_untested {
            return None;
        }
        self.is_untested = false;
        let reason = self.run_tests(rollout, workspaces, policy)?;
        let trip = TripNotice {
            time: now,
            router: own.host.clone(),
            reason,
        };
        self.record_trip(trip.clone(), revision);
        Some(trip)
    }

    /// Runs the tests, sets `trip_progress`, and describes the harm if one of them trips.
    fn run_tests(
        &mut self,
        rollout: &RolloutSpec,
        workspaces: usize,
        policy: &GuardPolicy,
    ) -> Option<String> {
        let PooledTotals { all, by_workspace } = self.pooled_totals().clone();
        let change = policy.detect_change;
        let level = policy.false_stop / 2.0;
        self.pooled_test.observe(all.good, all.bad, rollout, change);
        self.trip_progress = self.pooled_test.progress(level);
        if self.pooled_test.trips(level) {
            return Some(describe_harm(&all, "over the fleet"));
        }
        let level = level / workspaces.max(by_workspace.len()).max(1) as f64;
        for (workspace, counts) in by_workspace {
            let test = self.workspace_tests.entry(workspace.clone()).or_default();
            test.observe(counts.good, counts.bad, rollout, change);
            self.trip_progress = self.trip_progress.max(test.progress(level));
            if test.trips(level) {
                return Some(describe_harm(
                    &counts,
                    &format!("for workspace {workspace}"),
                ));
            }
        }
        None
    }

    /// Trip, and rows of the routers that `includes` accepts, recorded after revision `since`.
    pub(super) fn changes(
        &self,
        since: u64,
        includes: impl Fn(&RouterId) -> bool,
    ) -> (Vec<GuardRow>, Option<TripNotice>) {
        let rows = self
            .rows
            .values()
            .filter(|stamped| stamped.revision > since && includes(&stamped.row.router))
            .map(|stamped| stamped.row.clone())
            .collect();
        let trip = self.trip.clone().filter(|_| self.trip_revision > since);
        (rows, trip)
    }

    pub(super) fn reclaim_part(&mut self, router: &RouterId) {
        if self.participants.contains(router) {
            self.reclaimed.insert(router.clone());
        }
    }

    /// Frees this router's part permanently if none of it is in use; returns whether it is free.
    pub(super) fn close(&mut self, own: &RouterId, revision: u64) -> bool {
        if self.usage(own) > 0 {
            return false;
        }
        let stamped = self.stamped(own);
        if !stamped.row.closed {
            stamped.row.closed = true;
            stamped.revision = revision;
        }
        true
    }

    /// Unrated answers that count against the part of `router`.
    ///
    /// An answer whose rating never arrived counts too, until enough others were rated: each
    /// [`RATED_PER_GIVEN_UP`] rated answers release one of them.
    pub(super) fn usage(&self, router: &RouterId) -> u64 {
        let Some(stamped) = self.rows.get(router) else {
            return 0;
        };
        let total = stamped.row.total();
        let compensated = total.rated() / RATED_PER_GIVEN_UP;
        total
            .unrated()
            .saturating_sub(total.given_up.min(compensated))
    }

    /// Counts of the whole fleet.
    pub(super) fn totals(&self) -> GuardCounts {
        PooledTotals::of(self.rows.values().map(|stamped| &stamped.row)).all
    }

    /// Marks the totals as outdated and the tests as due, after a count grew.
    fn record_growth(&mut self) {
        self.totals = None;
        self.is_untested = true;
    }

    fn pooled_totals(&mut self) -> &PooledTotals {
        let rows = self.rows.values().map(|stamped| &stamped.row);
        self.totals.get_or_insert_with(|| PooledTotals::of(rows))
    }

    /// This router's part of the limit in force now. The limit grows with good answers and
    /// shrinks as the tests come closer to a trip.
    fn ramped_part(&mut self, own: &RouterId, policy: &GuardPolicy) -> u64 {
        let participants = self.sharing_participants();
        let start = u64::from(policy.ramp_start).max(participants.len() as u64);
        let ramped = start.saturating_add(self.pooled_totals().all.good);
        let highest = u64::from(self.limit).min(ramped) as f64;
        let lowest = (start as f64).min(highest);
        let limit = (highest - (highest - lowest) * self.trip_progress.sqrt()) as u32;
        u64::from(limit_part(limit, &participants, own))
    }

    /// Participants that may still use their parts.
    fn sharing_participants(&self) -> BTreeSet<RouterId> {
        let closed =
            |participant: &RouterId| self.rows.get(participant).is_some_and(|s| s.row.closed);
        self.participants
            .iter()
            .filter(|participant| !self.reclaimed.contains(participant) && !closed(participant))
            .cloned()
            .collect()
    }

    fn add_participant(&mut self, router: &RouterId) -> bool {
        if self.participants.len() < ROUTER_LIMIT {
            self.participants.insert(router.clone());
        }
        self.participants.contains(router)
    }

    /// Yields to every participant as soon as this router uses no more than its part among them.
    fn update_yielded(&mut self, own: &RouterId, revision: u64) {
        let participants = self.participants.clone();
        let usage = self.usage(own);
        let part = u64::from(limit_part(self.limit, &self.sharing_participants(), own));
        let stamped = self.stamped(own);
        if usage <= part && stamped.row.yielded != participants {
            stamped.row.yielded = participants;
            stamped.revision = revision;
        }
    }

    fn record_trip(&mut self, trip: TripNotice, revision: u64) {
        if self.trip.as_ref().is_none_or(|known| trip < *known) {
            self.trip = Some(trip);
            self.trip_revision = revision;
        }
    }

    fn own_cell(
        &mut self,
        own: &RouterId,
        workspace: &WorkspaceName,
        revision: u64,
    ) -> &mut GuardCounts {
        self.record_growth();
        let stamped = self.stamped(own);
        stamped.revision = revision;
        let cells = &mut stamped.row.cells;
        let known = cells.contains_key(workspace) || cells.len() < WORKSPACE_LIMIT;
        let key = if known {
            workspace.clone()
        } else {
            OTHER_WORKSPACES.into()
        };
        cells.entry(key).or_default()
    }

    fn stamped(&mut self, router: &RouterId) -> &mut StampedRow {
        self.rows
            .entry(router.clone())
            .or_insert_with(|| StampedRow {
                row: GuardRow::new(router.clone()),
                revision: 0,
            })
    }
}

fn describe_harm(counts: &GuardCounts, scope: &str) -> String {
    let GuardCounts { good, bad, .. } = counts;
    format!("{bad} bad and {good} good answers {scope}")
}
