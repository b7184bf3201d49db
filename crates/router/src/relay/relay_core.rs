//! State shared by all parts of the relay.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use ferry_decisions::choice::ChoicePoints;
use ferry_decisions::memory::MemoryShares;
use ferry_decisions::names::{HostName, Incarnation, ServiceName};
use ferry_decisions::registry::UpstreamRegistry;
use ferry_decisions::retry::{FleetRetryBound, RetryShare, RetryShareConfig};
use ferry_decisions::ruleset::{AllowedRegions, RuleSet};
use ferry_decisions::time::MonotonicTime;
use ferry_kernel::http::{BodyBudget, LimitsCell, RequestMemory};
use ferry_kernel::supervisor::{Supervisor, TaskPlan};
use ferry_platform::host_settings::HostSettings;
use ferry_platform::store::StoreClient;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::class_metrics::ClassMetrics;
use super::crashes::CrashManager;
use super::evacuation::EvacuationManager;
use super::fleet::{FleetManager, TopicPositions};
use super::paths::PathManager;
use super::permits::PermitManager;
use super::rollouts::RolloutManager;
use super::rules_progress::RulesProgress;
use super::rules_record::RulesRecord;
use super::topic_progress::TopicProgress;
use super::upstreams::{RelayUpstream, UpstreamDirectory};
use super::work_end::WorkEnd;
use super::workload::{LoadManager, StartStages};
use crate::core::{LifecyclePhase, PhaseCell};
use crate::membership::ProcessClock;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of an answer that is read completely before it is forwarded, in bytes.
const WHOLE_ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// State of one relay process.
pub struct RelayCore {
    /// Settings, reloaded when their file changes.
    pub settings: ArcSwap<HostSettings>,
    /// Clock of this process.
    pub clock: ProcessClock,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Rules in force here; absent until they are first read from the store or another router.
    pub rules: ArcSwapOption<RuleSet>,
    /// The operator's record from which these rules are.
    pub rules_record: Mutex<RulesRecord>,
    /// Limits on callers' connections, from the rules in force.
    pub caller_limits: LimitsCell,
    /// How far the operator's records are known here, from which the rules are.
    pub operator_topic: RulesProgress,
    /// How far the upstreams' entries are known here.
    pub upstream_topic: TopicProgress,
    /// How far the routers' rows of crashes are known here.
    pub crash_topic: TopicProgress,
    /// Zones to whose upstreams nothing may be sent.
    pub evacuations: EvacuationManager,
    /// Upstreams by service.
    pub upstreams: UpstreamDirectory,
    /// Registry of the upstreams' entries.
    pub registry: Mutex<UpstreamRegistry>,
    /// Memory for bodies of requests.
    pub request_memory: RequestMemory,
    /// Bytes of answers that are read completely before they are forwarded.
    pub answer_budget: BodyBudget,
    /// The fleet's count of upstreams that requests crashed.
    pub crashes: CrashManager,
    /// Limits that upstreams name, and the permits to send to them.
    pub permits: PermitManager,
    /// Expected work of runs, and the work that other routers have at the upstreams.
    pub load: LoadManager,
    /// Metrics of requests by rule and group of workspaces.
    pub class_metrics: ClassMetrics,
    /// Learned figures for the start stages of cascades.
    pub start_stages: StartStages,
    /// Search for ways to upstreams whose paths are lost.
    pub paths: PathManager,
    /// Registered routers, links to them, and the feed.
    pub fleet: FleetManager,
    /// Roll-outs known to this relay.
    pub rollouts: RolloutManager,
    /// Requests in progress, which a stop waits for.
    pub work: TaskTracker,
    /// When a stop ends these requests.
    pub work_end: WorkEnd,
    /// Cancels the background tasks.
    pub closing: CancellationToken,
    /// Keeps them running until then.
    pub supervisor: Supervisor,
    /// Random numbers of all choices of upstreams; absent outside of tests, where each choice draws its own.
    pub fixed_points: Mutex<Option<ChoicePoints>>,
    retries: Mutex<HashMap<ServiceName, RetryShare>>,
    phase: PhaseCell,
}

impl RelayCore {
    /// Creates the state without starting any background task.
    pub fn new(settings: HostSettings) -> Self {
        let router = format!("{}/{}", settings.host, Incarnation::random().0.simple());
        let clock = ProcessClock::start();
        let shares = MemoryShares::of(settings.memory_bytes);
        let closing = CancellationToken::new();
        Self {
            fleet: FleetManager::new(&settings, clock.now()),
            clock,
            store: StoreClient::new(settings.store, STORE_TIMEOUT),
            rules: ArcSwapOption::empty(),
            caller_limits: LimitsCell::default(),
            operator_topic: RulesProgress::default(),
            rules_record: Mutex::default(),
            upstream_topic: TopicProgress::default(),
            crash_topic: TopicProgress::default(),
            evacuations: EvacuationManager::default(),
            upstreams: UpstreamDirectory::default(),
            registry: Mutex::default(),
            request_memory: RequestMemory::new(shares),
            answer_budget: BodyBudget::new(WHOLE_ANSWER_LIMIT, shares.answers),
            crashes: CrashManager::new(&router),
            permits: PermitManager::default(),
            load: LoadManager::default(),
            class_metrics: ClassMetrics::default(),
            start_stages: StartStages::default(),
            paths: PathManager::default(),
            rollouts: RolloutManager::new(&router),
            work: TaskTracker::new(),
            work_end: WorkEnd::default(),
            supervisor: Supervisor::new(closing.clone()),
            closing,
            fixed_points: Mutex::default(),
            retries: Mutex::default(),
            phase: PhaseCell::default(),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    /// Whether requests can be answered: the relay is not stopping, rules, upstreams, crashes and the phases of
    /// roll-outs are known, the rules were confirmed within the revocation bound, and are not replaced.
    pub fn is_ready(&self) -> bool {
        self.phase() == LifecyclePhase::Serving
            && self.rules.load().is_some()
            && self.upstreams.is_listed()
            && self.knows_crashes()
            && self.rollouts.has_all_phases()
            && self.is_in_touch()
            && !self.has_replaced_rules()
    }

    /// Whether the rules in force were confirmed within the revocation bound.
    pub fn is_in_touch(&self) -> bool {
        let revocation = self.settings.load().bounds.revocation;
        self.operator_topic.covers(revocation)
    }

    /// Whether another router has later rules in force, which may have been written longer ago than a configuration takes to be in force
    /// everywhere: those here must not be used any more.
    pub fn has_replaced_rules(&self) -> bool {
        let bound = self.settings.load().bounds.config_apply;
        !self.operator_topic.covers(bound) && self.operator_topic.missing().is_some()
    }

    /// Whether nothing may be sent to `upstream`, because its zone is evacuated.
    pub fn is_evacuated(&self, upstream: &RelayUpstream) -> bool {
        let now = self.clock.now();
        self.evacuations.is_evacuated(&upstream.record.zone, now)
    }

    /// Whether the body of a request that may be handled in `regions` may be passed to `router`: it is in one of them, or in the region of this
    /// host.
    pub fn may_pass_to(&self, router: &HostName, regions: &AllowedRegions) -> bool {
        if regions.list().is_none() {
            return true;
        }
        let settings = self.settings.load();
        let order = self.fleet.order();
        let mut routers = order.routers().iter();
        let entry = routers.find(|entry| entry.host == *router);
        let region = entry.and_then(|entry| settings.region_of(&entry.zone));
        let is_own = region.is_some() && region == settings.region.as_ref();
        is_own || regions.allows(region)
    }

    /// Waits a moment for the operator's records where the settings bound evacuations and one of that time ago may not be known here, as after
    /// a suspension of the host.
    pub async fn settle_evacuations(&self) {
        let bound = self.settings.load().bounds.evacuation;
        if let Some(bound) = bound {
            self.operator_topic.topic().settle(bound).await;
        }
    }

    /// How far the topics of the store are known here.
    pub fn topic_positions(&self) -> TopicPositions {
        TopicPositions {
            operator: self.operator_topic.position(),
            upstreams: self.upstream_topic.position(),
            crashes: self.crash_topic.position(),
        }
    }

    /// Whether the crashes of requests are known: those in the store, and those that some other routers hold in their memory.
    pub fn knows_crashes(&self) -> bool {
        self.crash_topic.position().is_some() && self.crashes.has_asked_others()
    }

    /// Revision of the configuration in force here; `None` before the first one.
    pub fn revision_in_force(&self) -> Option<u64> {
        self.rules.load().as_ref().map(|rules| rules.revision)
    }

    /// Lifecycle phase of the relay.
    pub fn phase(&self) -> LifecyclePhase {
        self.phase.get()
    }

    /// Changes the lifecycle phase to `phase`.
    pub fn enter(&self, phase: LifecyclePhase) {
        self.phase.set(phase);
    }

    /// Keeps the background task that `start` gives running until the relay closes.
    pub fn keep<T>(
        self: &Arc<Self>,
        plan: TaskPlan,
        start: impl Fn(SharedCore) -> T + Send + 'static,
    ) where
        T: Future<Output = ()> + Send + 'static,
    {
        let core = Arc::clone(self);
        self.supervisor.keep(plan, move || start(Arc::clone(&core)));
    }

    /// Spawns `task`, a piece of work that others don't wait for and that is cancelled when the relay closes; what must go on is kept by
    /// [`Self::keep`].
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(self.closing.clone().run_until_cancelled_owned(task));
    }

    /// Adds the ongoing conversations of this router to its evidence about roll-outs that have just been announced.
    pub fn report_ongoing_conversations(&self) {
        let bounds = self.settings.load().bounds;
        let now = self.clock.now();
        self.rollouts
            .report_ongoing(bounds.exposure_share, bounds.session_gap, now);
    }

    /// Counts a request of `service` towards its retry budget.
    pub fn record_new_request(&self, service: &ServiceName) {
        self.with_retries(service, RetryShare::record_new_request);
    }

    /// Takes one retry from the budget of `service` if at least the fraction `reserve` of what may be left over remains;
    /// returns whether it did.
    pub fn spend_retry(&self, service: &ServiceName, reserve: f64) -> bool {
        self.with_retries(service, |share, config, now| {
            share.spend(config, reserve, now)
        })
    }

    /// Retries that the budget of `service` covers now.
    pub fn retries_left(&self, service: &ServiceName) -> f64 {
        self.with_retries(service, RetryShare::left)
    }

    /// Estimated requests per second of the whole fleet to `service`: the rate of this router times
    /// the number of routers.
    pub fn fleet_rate(&self, service: &ServiceName) -> f64 {
        let own = self.with_retries(service, RetryShare::new_request_rate);
        own * self.fleet.router_count().max(1) as f64
    }

    fn with_retries<R>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut RetryShare, &RetryShareConfig, MonotonicTime) -> R,
    ) -> R {
        let (config, now) = (self.retry_share(), self.clock.now());
        let mut retries = self.retries.lock();
        let share = retries.entry(service.clone()).or_default();
        action(share, &config, now)
    }

    fn retry_share(&self) -> RetryShareConfig {
        let bounds = self.settings.load().bounds;
        let bound = FleetRetryBound {
            ratio: bounds.retry_ratio,
            burst: bounds.retry_burst,
            window: bounds.retry_window,
        };
        bound.share(self.fleet.confirmed_count(), self.clock.elapsed())
    }
}

/// Shared state of the relay.
pub type SharedCore = Arc<RelayCore>;
