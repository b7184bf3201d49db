//! Decision state of one simulated router.

use std::time::Duration;

use ferry_decisions::admission::{
    AdmissionQuery, DeadlineAdmission, FairLevel, FairStanding, PriorityClass, QueueRank,
    ServiceEstimate, ServiceHistory, ServiceQuery, WorkspaceDemand, higher_rank_share,
};
use ferry_decisions::choice::{
    ChoicePoints, ChoiceQuery, InFlightHistory, ReportedLoad, UpstreamChoice, UpstreamLoad,
    UpstreamState, UpstreamView,
};
use ferry_decisions::limits::{OfferedCount, PooledDemand};
use ferry_decisions::names::{HostName, ZoneName};
use ferry_decisions::retry::{
    RetryBudget, RetryBudgetConfig, RetryPolicy, RetryQuery, RetryVerdict, UpstreamFailure,
};
use rand::Rng;
use rand::rngs::StdRng;

use super::simulated_request::SimulatedRequest;
use super::{AdmissionMode, PolicyVariant, RetryMode};

/// Time for which an upstream gets no requests after a failure that makes it suspect.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// Time constant of the demand estimate that determines the fair shares.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// State of one engine as known to a router.
#[derive(Debug)]
pub(super) struct KnownEngine {
    pub(super) name: HostName,
    pub(super) zone: ZoneName,
    /// Requests of this router in flight on the engine.
    pub(super) own: InFlightHistory,
    /// Requests of the other routers in flight on the engine.
    pub(super) peers: InFlightHistory,
    /// Latest visible load report, with the time at which it was taken.
    pub(super) report: Option<(Duration, ReportedLoad)>,
    /// Step duration observed in the router's own streams, in milliseconds; `None` while it has no
    /// requests on the engine.
    pub(super) observed_step_ms: Option<f64>,
    /// Time until which the engine is suspect and gets no requests.
    suspect_until: Duration,
}

impl KnownEngine {
    /// Creates an engine without requests or reports.
    pub(super) fn new(name: HostName, zone: ZoneName) -> Self {
        Self {
            name,
            zone,
            own: InFlightHistory::default(),
            peers: InFlightHistory::default(),
            report: None,
            observed_step_ms: None,
            suspect_until: Duration::ZERO,
        }
    }

    fn view(&self, now: Duration, rank: QueueRank) -> UpstreamView<'_> {
        let state = if now < self.suspect_until {
            UpstreamState::Suspect
        } else {
            UpstreamState::Live
        };
        UpstreamView {
            name: &self.name,
            zone: &self.zone,
            state,
            load: self.load(rank),
        }
    }

    fn load(&self, rank: QueueRank) -> UpstreamLoad {
        let taken = self.report.map(|report| report.0).unwrap_or_default();
        UpstreamLoad {
            own_in_flight: self.own.current(),
            own_at_report: self.own.at(taken),
            peers_in_flight: self.peers.current(),
            peers_at_report: self.peers.at(taken),
            mix: self.own.mix_relative_to(rank) + self.peers.mix_relative_to(rank),
            report: self.report.map(|report| report.1),
            observed_step_ms: self.observed_step_ms,
        }
    }
}

/// State of one simulated router.
#[derive(Debug)]
pub(super) struct RouterState {
    variant: PolicyVariant,
    zone: ZoneName,
    rng: StdRng,
    pub(super) engines: Vec<KnownEngine>,
    /// Step counts of the answers that the router forwarded.
    history: ServiceHistory,
    /// Retry budgets by workspace.
    budgets: Vec<RetryBudget>,
    /// Demand by workspace and priority, over all routers.
    demands: Vec<[PooledDemand; PriorityClass::COUNT]>,
    fair_level: FairLevel,
    admission: DeadlineAdmission,
    /// Number of engine choices made so far; used only by round robin.
    turn: u64,
}

impl RouterState {
    /// Creates a router without requests, history or known demand.
    pub(super) fn new(
        variant: &PolicyVariant,
        zone: ZoneName,
        rng: StdRng,
        engines: Vec<KnownEngine>,
        workspaces: usize,
    ) -> Self {
        Self {
            variant: variant.clone(),
            zone,
            rng,
            engines,
            history: ServiceHistory::default(),
            budgets: vec![RetryBudget::new(RetryBudgetConfig::default()); workspaces],
            demands: vec![PriorityClass::ALL.map(|_| PooledDemand::new(DEMAND_WINDOW)); workspaces],
            fair_level: FairLevel(f64::INFINITY),
            admission: DeadlineAdmission::default(),
            turn: 0,
        }
    }

    /// Counts a new request of `workspace`; retries are not counted.
    pub(super) fn offer(&mut self, now: Duration, workspace: usize, class: PriorityClass) {
        self.budgets[workspace].record_new_request();
        self.demands[workspace][class.index()].offer(now);
    }

    /// Chooses the engine for `request` and its queue rank there; `None` when the request is
    /// refused.
    ///
    /// When the engine chosen by the policy cannot admit the request, the cheapest one is tried.
    pub(super) fn choose_engine(
        &mut self,
        now: Duration,
        request: &SimulatedRequest,
        class: PriorityClass,
    ) -> Option<(usize, QueueRank)> {
        let points = ChoicePoints {
            first: self.rng.random(),
            second: self.rng.random(),
            turn: self.turn,
        };
        self.turn += 1;
        let (fair_point, point) = (self.rng.random(), self.rng.random());
        let standing = self.standing(now, request.entry.workspace, class, fair_point);
        let rank = QueueRank::new(class, standing);
        let engines = self.engines.iter();
        let views: Vec<UpstreamView<'_>> = engines.map(|e| e.view(now, rank)).collect();
        let query = ChoiceQuery {
            zone: &self.zone,
            affinity: None,
            tried: &request.tried,
        };
        let choice = UpstreamChoice {
            policy: self.variant.choice,
            ..UpstreamChoice::default()
        };
        let chosen = choice.choose(&views, &query, points).ok()?;
        if self.variant.admission == AdmissionMode::None {
            return Some((chosen, rank));
        }
        let mut admission_query = AdmissionQuery {
            time_left: Some(request.deadline.saturating_sub(now)),
            class,
            standing,
            load: views[chosen].load,
            higher_rank_share: higher_rank_share(&views),
            service: None,
            point,
        };
        if self.admits(now, &mut admission_query) {
            return Some((chosen, rank));
        }
        let cheapest = choice.cheapest(&views, &query).ok()?;
        admission_query.load = views[cheapest].load;
        self.admits(now, &mut admission_query)
            .then_some((cheapest, rank))
    }

    fn admits(&self, now: Duration, query: &mut AdmissionQuery) -> bool {
        query.service = self.service(now, query.class, &query.load);
        self.admission.decide(query).is_ok()
    }

    fn service(
        &self,
        now: Duration,
        class: PriorityClass,
        load: &UpstreamLoad,
    ) -> Option<ServiceEstimate> {
        let query = ServiceQuery {
            class,
            step_ms: load.step_ms(),
            most_steps: None,
        };
        let config = &self.admission.config;
        self.history.estimate(now, config, &query)
    }

    fn standing(
        &self,
        now: Duration,
        workspace: usize,
        class: PriorityClass,
        point: f64,
    ) -> FairStanding {
        if self.variant.admission != AdmissionMode::Fair {
            return FairStanding::Within;
        }
        let demand = self.demand(now, workspace);
        self.fair_level.standing(&demand, class, point)
    }

    /// Offered engine steps per second of `workspace`.
    fn demand(&self, now: Duration, workspace: usize) -> WorkspaceDemand {
        let offered = PriorityClass::ALL.map(|class| {
            let rate = self.demands[workspace][class.index()].rate(now);
            rate * self.history.mean_steps(class).unwrap_or(0.0)
        });
        WorkspaceDemand {
            weight: 1.0,
            offered,
        }
    }

    /// Number of requests of `class` and `workspace` that this router was offered.
    pub(super) fn offered_total(&self, workspace: usize, class: PriorityClass) -> u64 {
        self.demands[workspace][class.index()].own_total()
    }

    /// Merges the count of a peer for `workspace` and `class`.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        workspace: usize,
        class: PriorityClass,
        count: OfferedCount,
    ) {
        self.demands[workspace][class.index()].merge(now, count);
    }

    /// Recomputes the fair level from the demand and the capacity of the live engines.
    pub(super) fn update_fair_level(&mut self, now: Duration) {
        let rank = QueueRank::new(PriorityClass::Normal, FairStanding::Within);
        let steps_per_second =
            |load: UpstreamLoad| f64::from(load.batch_limit()) * 1_000.0 / load.step_ms();
        let live = self.engines.iter().filter(|e| now >= e.suspect_until);
        let capacity: f64 = live.map(|e| steps_per_second(e.load(rank))).sum();
        let demands: Vec<WorkspaceDemand> = (0..self.demands.len())
            .map(|workspace| self.demand(now, workspace))
            .collect();
        let target = self.admission.config.target_utilisation;
        self.fair_level = FairLevel::compute(capacity * target, &demands);
    }

    /// Adds an answer of `steps` engine steps to the service history.
    pub(super) fn record_answer(&mut self, now: Duration, class: PriorityClass, steps: u32) {
        self.history.record(now, class, steps);
    }

    /// Whether `request` is retried after `failure` on `engine`; marks the engine as suspect if
    /// the failure calls for it.
    pub(super) fn should_retry(
        &mut self,
        now: Duration,
        request: &SimulatedRequest,
        class: PriorityClass,
        engine: usize,
        failure: UpstreamFailure,
    ) -> bool {
        if failure.makes_suspect() {
            self.engines[engine].suspect_until = now + SUSPECT_TIME;
        }
        let policy = RetryPolicy::default();
        if self.variant.retry == RetryMode::Fixed {
            return request.attempts < policy.most_attempts;
        }
        let load = self.engines[engine].load(request.rank);
        let service = self.service(now, class, &load);
        let query = RetryQuery {
            failure,
            earlier: request.run,
            idempotent: true,
            answer_begun: false,
            attempts: request.attempts,
            time_left: Some(request.deadline.saturating_sub(now)),
            time_needed: service.map(|s| s.mean).unwrap_or_default(),
        };
        let budget = &mut self.budgets[request.entry.workspace];
        policy.decide(&query, || budget.spend()) == RetryVerdict::RetryElsewhere
    }
}
