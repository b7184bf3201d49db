//! State of the guard at one router.

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

/// Ratings that are waited for at once.
const RATINGS_AT_WORK: usize = 256;

/// Pooled evidence, with what it takes to use it.
#[derive(Debug)]
pub struct GuardDesk {
    state: Mutex<GuardState>,
    /// Places for ratings that are waited for.
    pub(super) ratings: Arc<Semaphore>,
    /// Signalled when a trip was learned.
    pub(super) tripped: Notify,
    /// Signalled when a trip was found here, which this router appends first.
    pub(super) found: Notify,
}

#[derive(Debug)]
struct GuardState {
    pool: GuardPool,
    fleet: FleetIdentity,
}

/// State of one version in a roll-out.
#[derive(Debug, Clone, serde::Serialize)]
pub struct CandidateView {
    /// The version.
    pub version: VersionName,
    /// Epoch of its roll-out.
    pub epoch: u64,
    /// Counts of the whole fleet.
    pub counts: GuardCounts,
    /// Answers of this router that count against the limit.
    pub unrated_here: u64,
    /// Evidence of the trip, in words; `None` while the roll-out goes on.
    pub trip: Option<String>,
}

impl GuardDesk {
    /// A desk of the router `own` without evidence.
    pub fn new(own: RouterId) -> Self {
        Self {
            state: Mutex::new(GuardState {
                pool: GuardPool::new(own, GuardPolicy::default()),
                fleet: FleetIdentity::default(),
            }),
            ratings: Arc::new(Semaphore::new(RATINGS_AT_WORK)),
            tripped: Notify::new(),
            found: Notify::new(),
        }
    }

    /// Counts a request to `version` if it may be handed to it now.
    ///
    /// # Errors
    ///
    /// The decision that keeps it from the version.
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

    /// Counts how a request that was admitted ended.
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

    /// Tests the evidence about every version in a roll-out.
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
            self.found.notify_one();
        }
    }

    /// Takes over a peer's evidence, as far as it is of roll-outs that go on here.
    pub(super) fn merge(&self, view: &ConfigView, mut delta: GuardDelta) {
        delta
            .candidates
            .retain(|candidate| is_current(view, &candidate.version, candidate.epoch));
        let mut state = self.state.lock();
        let pool = &mut state.pool;
        let is_news = delta.candidates.iter().any(|candidate| {
            let known = pool.tripped(&candidate.version, candidate.epoch);
            candidate.trip.is_some() && known.is_none()
        });
        pool.merge(&delta);
        drop(state);
        if is_news {
            self.tripped.notify_one();
        }
        self.evaluate(view);
    }

    /// Follows the configuration and the fleet; every router yields parts, also without requests.
    pub(super) fn follow(&self, view: &ConfigView, fleet: FleetIdentity, leaving: bool) {
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

    /// Changes after revision `since`, and the revision to ask from next.
    pub(super) fn changes(&self, since: u64, own_only: bool) -> (GuardDelta, u64) {
        let pool = &self.state.lock().pool;
        let delta = if own_only {
            pool.own_delta_since(since)
        } else {
            pool.delta_since(since)
        };
        (delta, pool.revision())
    }

    /// Trips that the folded configuration lacks.
    pub(super) fn unlogged_trips(&self, view: &ConfigView) -> Vec<TripRecord> {
        let mut records = self.state.lock().pool.trip_records();
        records.retain(|record| {
            let entry = view.version(record.version.as_str());
            let is_logged = entry.is_some_and(|entry| entry.tripped);
            !is_logged && is_current(view, &record.version, record.epoch)
        });
        records
    }

    /// Every version in a roll-out.
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
