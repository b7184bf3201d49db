//! Pooled evidence about one candidate: a version in one epoch of its roll-out.

use std::collections::{BTreeMap, BTreeSet};

use super::pooled_totals::PooledTotals;
use super::seat_parts::seat_part;
use super::{
    AnswerOutcome, CandidateDelta, FleetView, GuardCounts, GuardDecision, GuardPolicy, GuardRow,
    HarmTest, RouterId, TripNotice,
};
use crate::config::RolloutSpec;
use crate::names::WorkspaceName;
use crate::time::UnixMillis;

/// Most routers counted for one candidate, dead ones included.
const ROUTER_LIMIT: usize = 64;
/// Most workspaces that a row counts on their own.
const WORKSPACE_LIMIT: usize = 256;
/// Rated answers that make up for one whose rating never came.
const RATED_PER_GIVEN_UP: u64 = 10;
/// Cell of the answers of all workspaces above the limit.
const OTHER_WORKSPACES: &str = "";

/// State of one candidate at one router.
#[derive(Debug)]
pub(super) struct CandidatePool {
    /// Rows by router, this router's own included.
    rows: BTreeMap<RouterId, StampedRow>,
    /// Sums of the rows; `None` after a change until they are needed.
    totals: Option<PooledTotals>,
    /// Routers that share the limit. Only grows, so that this router's part only shrinks.
    seats: BTreeSet<RouterId>,
    /// Seats of dead routers, whose parts the others use again.
    written_off: BTreeSet<RouterId>,
    /// Whether every seat of a complete fleet view once yielded to this router.
    entitled: bool,
    /// Limit of the roll-out, once known.
    limit: u32,
    trip: Option<TripNotice>,
    /// Revision of the pool at which the trip was learned.
    trip_revision: u64,
    /// Whether a count grew since the tests last ran.
    untested: bool,
    /// How near the tests are to a trip, from 0 to 1.
    caution: f64,
    pooled_test: HarmTest,
    workspace_tests: BTreeMap<WorkspaceName, HarmTest>,
}

/// A row with the revision of the pool at which it last changed.
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
            seats: BTreeSet::from([own.clone()]),
            written_off: BTreeSet::new(),
            entitled: false,
            limit: 0,
            trip: None,
            trip_revision: 0,
            untested: true,
            caution: 0.0,
            pooled_test: HarmTest::default(),
            workspace_tests: BTreeMap::new(),
        };
        pool.refresh_yield(own, revision);
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
            self.add_seat(router);
        }
        self.refresh_yield(own, revision);
        if !fleet.routers.iter().all(|r| self.seats.contains(r)) {
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

    /// Why this router may not use a part yet; nothing once it was entitled.
    fn entitlement_refusal(
        &mut self,
        own: &RouterId,
        fleet: FleetView<'_>,
    ) -> Option<GuardDecision> {
        if self.entitled {
            return None;
        }
        if !fleet.complete {
            return Some(GuardDecision::AwaitingFleet);
        }
        let yielded = |seat: &RouterId| {
            self.rows
                .get(seat)
                .is_some_and(|stamped| stamped.row.yielded.contains(own))
        };
        if !self.sharing_seats().iter().all(yielded) {
            return Some(GuardDecision::AwaitingParts);
        }
        self.entitled = true;
        None
    }

    pub(super) fn record_served(&mut self, own: &RouterId, workspace: &WorkspaceName, rev: u64) {
        self.own_cell(own, workspace, rev).served += 1;
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
        self.refresh_yield(own, revision);
    }

    /// Joins `delta`; rows that change carry `revision` from then on.
    pub(super) fn merge(&mut self, own: &RouterId, delta: &CandidateDelta, revision: u64) {
        for row in &delta.rows {
            if self.add_seat(&row.router) {
                self.merge_row(row, revision);
            }
        }
        if let Some(trip) = &delta.trip {
            self.take_trip(trip.clone(), revision);
        }
        self.refresh_yield(own, revision);
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
        self.note_growth();
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
        if self.trip.is_some() || !self.untested {
            return None;
        }
        self.untested = false;
        let reason = self.harm_found(rollout, workspaces, policy)?;
        let trip = TripNotice {
            time: now,
            router: own.host.clone(),
            reason,
        };
        self.take_trip(trip.clone(), revision);
        Some(trip)
    }

    /// Runs the tests, sets the caution, and describes the harm if one trips.
    fn harm_found(
        &mut self,
        rollout: &RolloutSpec,
        workspaces: usize,
        policy: &GuardPolicy,
    ) -> Option<String> {
        let PooledTotals { all, by_workspace } = self.pooled_totals().clone();
        let change = policy.detect_change;
        let level = policy.false_stop / 2.0;
        self.pooled_test.observe(all.good, all.bad, rollout, change);
        self.caution = self.pooled_test.progress(level);
        if self.pooled_test.trips(level) {
            return Some(harm_text(&all, "over the fleet"));
        }
        let level = level / workspaces.max(by_workspace.len()).max(1) as f64;
        for (workspace, counts) in by_workspace {
            let test = self.workspace_tests.entry(workspace.clone()).or_default();
            test.observe(counts.good, counts.bad, rollout, change);
            self.caution = self.caution.max(test.progress(level));
            if test.trips(level) {
                return Some(harm_text(&counts, &format!("for workspace {workspace}")));
            }
        }
        None
    }

    /// Rows of the routers that `includes` takes, and trip, learned after `since`.
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

    pub(super) fn write_off(&mut self, router: &RouterId) {
        if self.seats.contains(router) {
            self.written_off.insert(router.clone());
        }
    }

    /// Frees this router's part for good when it uses none of it.
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
    /// One whose rating never came keeps its place until enough others were rated.
    pub(super) fn usage(&self, router: &RouterId) -> u64 {
        let Some(stamped) = self.rows.get(router) else {
            return 0;
        };
        let total = stamped.row.total();
        let made_up = total.rated() / RATED_PER_GIVEN_UP;
        total.unrated().saturating_sub(total.given_up.min(made_up))
    }

    /// Counts of the whole fleet.
    pub(super) fn totals(&self) -> GuardCounts {
        PooledTotals::of(self.rows.values().map(|stamped| &stamped.row)).all
    }

    fn note_growth(&mut self) {
        self.totals = None;
        self.untested = true;
    }

    fn pooled_totals(&mut self) -> &PooledTotals {
        let rows = self.rows.values().map(|stamped| &stamped.row);
        self.totals.get_or_insert_with(|| PooledTotals::of(rows))
    }

    /// Part of the limit in force now: it opens with good answers, and closes again as the
    /// tests come nearer to a trip.
    fn ramped_part(&mut self, own: &RouterId, policy: &GuardPolicy) -> u64 {
        let seats = self.sharing_seats();
        let start = u64::from(policy.ramp_start).max(seats.len() as u64);
        let ramped = start.saturating_add(self.pooled_totals().all.good);
        let open = u64::from(self.limit).min(ramped) as f64;
        let closed = (start as f64).min(open);
        let limit = (open - (open - closed) * self.caution.sqrt()) as u32;
        u64::from(seat_part(limit, &seats, own))
    }

    /// Seats whose routers may still use their parts.
    fn sharing_seats(&self) -> BTreeSet<RouterId> {
        let closed = |seat: &RouterId| self.rows.get(seat).is_some_and(|s| s.row.closed);
        self.seats
            .iter()
            .filter(|seat| !self.written_off.contains(seat) && !closed(seat))
            .cloned()
            .collect()
    }

    fn add_seat(&mut self, router: &RouterId) -> bool {
        if self.seats.len() < ROUTER_LIMIT {
            self.seats.insert(router.clone());
        }
        self.seats.contains(router)
    }

    /// Yields to every seat as soon as this router keeps within the part that they leave it.
    fn refresh_yield(&mut self, own: &RouterId, revision: u64) {
        let seats = self.seats.clone();
        let usage = self.usage(own);
        let part = u64::from(seat_part(self.limit, &self.sharing_seats(), own));
        let stamped = self.stamped(own);
        if usage <= part && stamped.row.yielded != seats {
            stamped.row.yielded = seats;
            stamped.revision = revision;
        }
    }

    fn take_trip(&mut self, trip: TripNotice, revision: u64) {
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
        self.note_growth();
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

fn harm_text(counts: &GuardCounts, scope: &str) -> String {
    let GuardCounts { good, bad, .. } = counts;
    format!("{bad} bad and {good} good answers {scope}")
}
