//! Simulated routers of one roll-out: their guards and the messages between them.

use std::collections::VecDeque;
use std::sync::Arc;

use ferry_decisions::config::RolloutSpec;
use ferry_decisions::guard::{
    AnswerOutcome, CandidateDelta, FleetView, GuardDecision, GuardDelta, GuardPool, RouterId,
    TripNotice,
};
use ferry_decisions::names::{HostName, Incarnation, VersionName, WorkspaceName};
use ferry_decisions::time::UnixMillis;
use uuid::Uuid;

use super::{GuardExperiment, GuardScenario, GuardVariant};

/// A message that has been sent and not yet delivered.
struct Message {
    arrives_ms: u64,
    to: usize,
    delta: Arc<GuardDelta>,
}

/// All simulated routers of one roll-out.
pub(super) struct GuardFleet {
    variant: GuardVariant,
    log_unavailable: bool,
    log_delay_ms: u64,
    peer_delay_ms: u64,
    version: VersionName,
    rollout: RolloutSpec,
    workspaces: Vec<WorkspaceName>,
    routers: Vec<RouterId>,
    pools: Vec<GuardPool>,
    /// Per router, the revision up to which its peers have been sent its evidence.
    sent_revisions: Vec<u64>,
    /// Messages between peers, in order of arrival.
    messages: VecDeque<Message>,
    /// Trip record that was appended to the log and that the routers have not read yet.
    pending_trip: Option<Message>,
}

impl GuardFleet {
    pub(super) fn new(
        experiment: &GuardExperiment,
        scenario: &GuardScenario,
        variant: GuardVariant,
    ) -> Self {
        let routers: Vec<RouterId> = (0..experiment.routers).map(router_id).collect();
        let pool = |router: &RouterId| GuardPool::new(router.clone(), variant.policy());
        Self {
            variant,
            log_unavailable: scenario.log_unavailable,
            log_delay_ms: experiment.log_delay_ms,
            peer_delay_ms: experiment.peer_delay_ms,
            version: VersionName::new("candidate"),
            rollout: variant.rollout(&experiment.rollout, routers.len()),
            workspaces: (0..experiment.workspace_weights.len())
                .map(|index| WorkspaceName::new(&format!("workspace-{index}")))
                .collect(),
            pools: routers.iter().map(pool).collect(),
            sent_revisions: vec![0; routers.len()],
            routers,
            messages: VecDeque::new(),
            pending_trip: None,
        }
    }

    /// Sends a request to the candidate if the router's guard allows it; returns whether it did.
    pub(super) fn try_serve(&mut self, router: usize, workspace: usize) -> bool {
        if self.variant == GuardVariant::NoGuard {
            return true;
        }
        let routers = if self.variant.pools_evidence() {
            &self.routers[..]
        } else {
            std::slice::from_ref(&self.routers[router])
        };
        let view = FleetView {
            routers,
            complete: true,
        };
        let decision = self.pools[router].may_serve(&self.version, &self.rollout, view);
        if decision != GuardDecision::Serve {
            return false;
        }
        let workspace = &self.workspaces[workspace];
        self.pools[router].record_served(&self.version, self.rollout.epoch, workspace);
        true
    }

    pub(super) fn record(
        &mut self,
        router: usize,
        workspace: usize,
        outcome: AnswerOutcome,
        now: u64,
    ) {
        if self.variant == GuardVariant::NoGuard {
            return;
        }
        let workspace = &self.workspaces[workspace];
        self.pools[router].record_outcome(&self.version, self.rollout.epoch, workspace, outcome);
        self.evaluate(router, now);
    }

    /// Sends each router's new evidence to its peers.
    pub(super) fn exchange(&mut self, now: u64) {
        if !self.variant.pools_evidence() {
            return;
        }
        for from in 0..self.pools.len() {
            let delta = Arc::new(self.pools[from].own_delta_since(self.sent_revisions[from]));
            self.sent_revisions[from] = self.pools[from].revision();
            if delta.candidates.is_empty() {
                continue;
            }
            for to in (0..self.pools.len()).filter(|to| *to != from) {
                self.messages.push_back(Message {
                    arrives_ms: now + self.peer_delay_ms,
                    to,
                    delta: delta.clone(),
                });
            }
        }
    }

    /// Delivers the peer messages and the log record that are due at `now`.
    pub(super) fn deliver(&mut self, now: u64) {
        let mut updated = vec![false; self.pools.len()];
        while let Some(message) = self.messages.pop_front_if(|m| m.arrives_ms <= now) {
            self.pools[message.to].merge(&message.delta);
            updated[message.to] = true;
        }
        for router in (0..updated.len()).filter(|router| updated[*router]) {
            self.evaluate(router, now);
        }
        if self
            .pending_trip
            .as_ref()
            .is_some_and(|m| m.arrives_ms <= now)
            && let Some(message) = self.pending_trip.take()
        {
            for pool in &mut self.pools {
                pool.merge(&message.delta);
            }
        }
    }

    /// Number of routers that know of a trip.
    pub(super) fn stopped_count(&self) -> usize {
        let epoch = self.rollout.epoch;
        self.pools
            .iter()
            .filter(|pool| pool.tripped(&self.version, epoch).is_some())
            .count()
    }

    fn evaluate(&mut self, router: usize, now: u64) {
        let count = self.workspaces.len();
        let trip =
            self.pools[router].evaluate(&self.version, &self.rollout, count, UnixMillis(now));
        let Some(trip) = trip else {
            return;
        };
        if self.variant.logs_trips() && !self.log_unavailable && self.pending_trip.is_none() {
            self.pending_trip = Some(Message {
                arrives_ms: now + self.log_delay_ms,
                to: router,
                delta: Arc::new(self.trip_delta(trip)),
            });
        }
    }

    fn trip_delta(&self, trip: TripNotice) -> GuardDelta {
        GuardDelta {
            candidates: vec![CandidateDelta {
                version: self.version.clone(),
                epoch: self.rollout.epoch,
                rows: Vec::new(),
                trip: Some(trip),
            }],
        }
    }
}

fn router_id(index: usize) -> RouterId {
    RouterId {
        host: HostName::new(&format!("router-{index}")),
        incarnation: Incarnation(Uuid::from_u128(index as u128 + 1)),
    }
}
