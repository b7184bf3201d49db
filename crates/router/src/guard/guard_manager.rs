//! Guard state of one router.

use std::sync::Arc;

use ferry_decisions::config::{ConfigView, RolloutSpec, TripRecord};
use ferry_decisions::guard::{
    AnswerOutcome, FleetView, GuardCounts, GuardDecision, GuardDelta, GuardPolicy, GuardPool,
    RouterId,
};
use ferry_decisions::names::{VersionName, WorkspaceName};
use ferry_kernel::wall_clock;
use parking_lot::Mutex;
use tokio::sync::{Notify, Semaphore};

use super::ServedRequest;
use super::fleet_identity::FleetIdentity;

/// Maximum number of ratings pending at once.
const MAX_PENDING_RATINGS: usize = 256;

/// Pooled evidence, and the checks and notifications built on it.
#[derive(Debug)]
pub struct GuardManager {
    state: Mutex<GuardState>,
    /// One permit for each pending rating.
    pub(super) rating_permits: Arc<Semaphore>,
    /// Signalled when a trip is found here or received from a peer.
    pub(super) tripped: Notify,
    /// Signalled when this router itself finds a trip, so that it appends the record at once.
    pub(super) tripped_here: Notify,
}

#[derive(Debug)]
struct GuardState {
    pool: GuardPool,
    fleet: FleetIdentity,
}

/// State of one version in a roll-out.
#[derive(Debug, Clone, serde::Serialize)]
pub struct CandidateView {
    /// Name of the version.
    pub version: VersionName,
    /// Epoch of its roll-out.
    pub epoch: u64,
    /// Counts of the whole fleet.
    pub counts: GuardCounts,
    /// Answers of this router that count against the limit.
    pub unrated_here: u64,
    /// Reason for the trip; `None` while the roll-out is running.
    pub trip: Option<String>,
}

impl GuardManager {
    /// Creates the manager of the router `own`, without evidence.
    pub fn new(own: RouterId) -> Self {
        Self {
            state: Mutex::new(GuardState {
                pool: GuardPool::new(own, GuardPolicy::default()),
                fleet: FleetIdentity::default(),
            }),
            rating_permits: Arc::new(Semaphore::new(MAX_PENDING_RATINGS)),
            tripped: Notify::new(),
            tripped_here: Notify::new(),
        }
    }

    /// Counts a request to `version` if the version may serve it now.
    ///
    /// # Errors
    ///
    /// The decision that keeps the request from the version.
    pub(super) fn admit(
        self: &Arc<Self>,
        version: &VersionName,
        rollout: &RolloutSpec,
        workspace: &WorkspaceName,
    ) -> Result<ServedRequest, GuardDecision> {
        let mut state = self.state.lock();
        let decision = state.decide(version, rollout);
        if decision != GuardDecision::Serve {
            return Err(decision);
        }
        state.pool.record_served(version, rollout.epoch, workspace);
        drop(state);
        Ok(ServedRequest::new(
            Arc::clone(self),
            version.clone(),
            rollout.epoch,
            workspace.clone(),
        ))
    }

    /// Counts the outcome of an admitted request.
    pub(super) fn record_outcome(
        &self,
        version: &VersionName,
        epoch: u64,
        workspace: &WorkspaceName,
        outcome: AnswerOutcome,
    ) {
        let pool = &mut self.state.lock().pool;
        pool.record_outcome(version, epoch, workspace, outcome);
    }

    /// Runs the sequential test for every version in a roll-out, and trips those that fail it.
    pub(super) fn evaluate(&self, view: &ConfigView) {
        let workspaces = view.workspaces.len();
        for (version, rollout) in rollouts(view) {
            let pool = &mut self.state.lock().pool;
            let trip = pool.evaluate(version, rollout, workspaces, wall_clock::now());
            let Some(trip) = trip else {
                continue;
            };
            metrics::counter!("ferry_guard_trips_total", "version" => version.to_string())
                .increment(1);
            spdlog::warn!(
                "roll-out stopped; publish a new epoch to lift it",
                kv: { version = version.as_str(), epoch = rollout.epoch, reason = trip.reason }
            );
            self.tripped.notify_one();
            self.tripped_here.notify_one();
        }
    }

    /// Merges a peer's evidence; candidates whose roll-out epoch is not in force here are ignored.
    pub(super) fn merge(&self, view: &ConfigView, mut delta: GuardDelta) {
        delta
            .candidates
            .retain(|candidate| is_current(view, &candidate.version, candidate.epoch));
        let mut state = self.state.lock();
        let pool = &mut state.pool;
        let is_new_trip = delta.candidates.iter().any(|candidate| {
            let known = pool.tripped(&candidate.version, candidate.epoch);
            candidate.trip.is_some() && known.is_none()
        });
        pool.merge(&delta);
        drop(state);
        if is_new_trip {
            self.tripped.notify_one();
        }
        self.evaluate(view);
    }

    /// Updates the pool for the current configuration and fleet. It decides on every version even if
    /// no request arrives, so that this router leaves the other participants their parts of the
    /// limit.
    pub(super) fn update(&self, view: &ConfigView, fleet: FleetIdentity, leaving: bool) {
        let mut state = self.state.lock();
        state
            .pool
            .retain(|version, epoch| is_current(view, version, epoch));
        state.fleet = fleet;
        for (version, rollout) in rollouts(view) {
            state.decide(version, rollout);
        }
        let GuardState { pool, fleet } = &mut *state;
        for router in &fleet.gone {
            pool.reclaim_part(router);
        }
        if leaving {
            pool.leave();
        }
    }

    /// Changes after revision `since`, and the revision to continue from. With `own_only`, the
    /// evidence of other routers is left out, but no trip.
    pub(super) fn changes(&self, since: u64, own_only: bool) -> (GuardDelta, u64) {
        let pool = &self.state.lock().pool;
        let delta = if own_only {
            pool.own_delta_since(since)
        } else {
            pool.delta_since(since)
        };
        (delta, pool.revision())
    }

    /// Trips that are missing from the folded configuration.
    pub(super) fn unlogged_trips(&self, view: &ConfigView) -> Vec<TripRecord> {
        let mut records = self.state.lock().pool.trip_records();
        records.retain(|record| {
            let entry = view.version(record.version.as_str());
            let is_logged = entry.is_some_and(|entry| entry.tripped);
            !is_logged && is_current(view, &record.version, record.epoch)
        });
        records
    }

    /// State of every version in a roll-out.
    pub(super) fn candidates(&self, view: &ConfigView) -> Vec<CandidateView> {
        let pool = &self.state.lock().pool;
        rollouts(view)
            .map(|(version, rollout)| CandidateView {
                version: version.clone(),
                epoch: rollout.epoch,
                counts: pool.totals(version, rollout.epoch),
                unrated_here: pool.usage(version, rollout.epoch),
                trip: pool
                    .tripped(version, rollout.epoch)
                    .map(|trip| trip.reason.clone()),
            })
            .collect()
    }
}

impl GuardState {
    fn decide(&mut self, version: &VersionName, rollout: &RolloutSpec) -> GuardDecision {
        let fleet = FleetView {
            routers: &self.fleet.routers,
            complete: self.fleet.complete,
        };
        self.pool.may_serve(version, rollout, fleet)
    }
}

fn rollouts(view: &ConfigView) -> impl Iterator<Item = (&VersionName, &RolloutSpec)> {
    view.versions
        .iter()
        .filter_map(|entry| Some((&entry.name, entry.spec.rollout.as_ref()?)))
}

fn is_current(view: &ConfigView, version: &VersionName, epoch: u64) -> bool {
    let entry = view.version(version.as_str());
    let rollout = entry.and_then(|entry| entry.spec.rollout.as_ref());
    rollout.is_some_and(|rollout| rollout.epoch == epoch)
}
