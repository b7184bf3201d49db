//! Routers of one roll-out with their guards and the messages between them.

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

/// A message on its way.
struct Message {
    arrives_ms: u64,
    to: usize,
    delta: Arc<GuardDelta>,
}

/// Routers of one roll-out.
pub(super) struct GuardFleet {
    variant: GuardVariant,
    log_out: bool,
    log_delay_ms: u64,
    peer_delay_ms: u64,
    version: VersionName,
    rollout: RolloutSpec,
    workspaces: Vec<WorkspaceName>,
    routers: Vec<RouterId>,
    pools: Vec<GuardPool>,
    /// Revision of each router that its peers were last sent.
    sent: Vec<u64>,
    /// Messages between peers, in the order in which they arrive.
    messages: VecDeque<Message>,
    /// Trip record on its way through the log.
    logged: Option<Message>,
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
            log_out: scenario.log_out,
            log_delay_ms: experiment.log_delay_ms,
            peer_delay_ms: experiment.peer_delay_ms,
            version: VersionName::new("candidate"),
            rollout: variant.rollout(&experiment.rollout, routers.len()),
            workspaces: (0..experiment.workspace_weights.len())
                .map(|index| WorkspaceName::new(&format!("workspace-{index}")))
                .collect(),
            pools: routers.iter().map(pool).collect(),
            sent: vec![0; routers.len()],
            routers,
            messages: VecDeque::new(),
            logged: None,
        }
    }

    /// Hands a request to the candidate if the router's guard lets it.
    pub(super) fn serve(&mut self, router: usize, workspace: usize) -> bool {
        if self.variant == GuardVariant::NoGuard {
            return true;
        }
        let routers = if self.variant.pools() {
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

    /// Sends each router's news to its peers.
    pub(super) fn exchange(&mut self, now: u64) {
        if !self.variant.pools() {
            return;
        }
        for from in 0..self.pools.len() {
            let delta = Arc::new(self.pools[from].own_delta_since(self.sent[from]));
            self.sent[from] = self.pools[from].revision();
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

    /// Delivers what has arrived.
    pub(super) fn deliver(&mut self, now: u64) {
        let mut touched = vec![false; self.pools.len()];
        while let Some(message) = self.messages.pop_front_if(|m| m.arrives_ms <= now) {
            self.pools[message.to].merge(&message.delta);
            touched[message.to] = true;
        }
        for router in (0..touched.len()).filter(|router| touched[*router]) {
            self.evaluate(router, now);
        }
        if self.logged.as_ref().is_some_and(|m| m.arrives_ms <= now)
            && let Some(message) = self.logged.take()
        {
            for pool in &mut self.pools {
                pool.merge(&message.delta);
            }
        }
    }

    /// Routers that know of a trip.
    pub(super) fn stopped(&self) -> usize {
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
        if self.variant.logs_trips() && !self.log_out && self.logged.is_none() {
            self.logged = Some(Message {
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
