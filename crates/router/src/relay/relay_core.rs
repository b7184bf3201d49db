//! State that all parts of the relay share.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use ferry_decisions::names::ServiceName;
use ferry_decisions::quarantine::CrashTally;
use ferry_decisions::retry::{WindowBudget, WindowBudgetConfig};
use ferry_decisions::roster::UpstreamRoster;
use ferry_decisions::ruleset::RuleSet;
use ferry_decisions::time::MonotonicTime;
use ferry_kernel::http::LimitsCell;
use ferry_platform::host_settings::HostSettings;
use ferry_platform::store::StoreClient;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::answer_pace::AnswerPace;
use super::fleet::FleetDesk;
use super::rollouts::RolloutManager;
use super::store_contact::StoreContact;
use super::upstreams::UpstreamDirectory;
use crate::core::{LifePhase, PhaseCell};
use crate::membership::ProcessClock;

/// Time allowed for a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Least number of routers among which the fleet's burst of repeated sends is divided, since some
/// may be unknown or start again with a part of their own.
const LEAST_BURST_PARTS: f64 = 12.0;
/// Parts of that burst for each router that is known.
const PARTS_PER_ROUTER: f64 = 1.5;
/// Part of the allowed ratio of repeated sends that is used.
const RATIO_PART: f64 = 0.9;

/// State of one relay process.
pub struct RelayCore {
    /// Settings, read again when their file changes.
    pub settings: ArcSwap<HostSettings>,
    /// Clock of this process.
    pub clock: ProcessClock,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Rules in force here; absent until they are first read.
    pub rules: ArcSwapOption<RuleSet>,
    /// Bounds on callers' connections, of the rules in force.
    pub caller_limits: LimitsCell,
    /// When the rules were last confirmed.
    pub contact: StoreContact,
    /// When the upstreams' entries were last confirmed.
    pub listing: StoreContact,
    /// Upstreams by service.
    pub upstreams: UpstreamDirectory,
    /// Entries of the upstreams.
    pub roster: Mutex<UpstreamRoster>,
    /// Usual pace of all answers.
    pub pace: Mutex<AnswerPace>,
    /// Requests whose upstreams kept breaking off.
    pub crashes: Mutex<CrashTally>,
    /// The other routers.
    pub fleet: FleetDesk,
    /// Roll-outs under way.
    pub rollouts: RolloutManager,
    /// Requests in progress; waited for at a stop.
    pub work: TaskTracker,
    /// Ends the background tasks.
    pub closing: CancellationToken,
    budgets: Mutex<HashMap<ServiceName, WindowBudget>>,
    phase: PhaseCell,
}

impl RelayCore {
    /// State of a relay that has not started its tasks.
    pub fn new(settings: HostSettings) -> Self {
        Self {
            clock: ProcessClock::start(),
            store: StoreClient::new(settings.store, STORE_TIMEOUT),
            rules: ArcSwapOption::empty(),
            caller_limits: LimitsCell::default(),
            contact: StoreContact::default(),
            listing: StoreContact::default(),
            upstreams: UpstreamDirectory::default(),
            roster: Mutex::default(),
            pace: Mutex::default(),
            crashes: Mutex::default(),
            fleet: FleetDesk::default(),
            rollouts: RolloutManager::new(settings.host.as_str()),
            work: TaskTracker::new(),
            closing: CancellationToken::new(),
            budgets: Mutex::default(),
            phase: PhaseCell::default(),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    /// Whether requests can be answered: rules and upstreams are known and the rules are fresh.
    pub fn is_ready(&self) -> bool {
        let revocation = self.settings.load().bounds.revocation;
        self.phase() == LifePhase::Serving
            && self.rules.load().is_some()
            && self.upstreams.is_listed()
            && self.rollouts.has_all_phases()
            && self.contact.covers(revocation)
    }

    /// Phase of the relay's life.
    pub fn phase(&self) -> LifePhase {
        self.phase.get()
    }

    /// Moves on to `phase`.
    pub fn enter(&self, phase: LifePhase) {
        self.phase.set(phase);
    }

    /// Runs `task` until it ends or the relay closes.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(self.closing.clone().run_until_cancelled_owned(task));
    }

    /// Counts a request of `service` towards its budget of repeated sends.
    pub fn fund_repeats(&self, service: &ServiceName) {
        self.with_budget(service, WindowBudget::fund);
    }

    /// Counts a repeated send to `service` if the budget covers it and `spared` more.
    pub fn spend_repeat(&self, service: &ServiceName, spared: f64) -> bool {
        self.with_budget(service, |budget, config, now| {
            budget.spend(config, spared, now)
        })
    }

    /// Repeated sends to `service` that its budget covers now.
    pub fn repeats_left(&self, service: &ServiceName) -> f64 {
        self.with_budget(service, WindowBudget::left)
    }

    /// Estimate of the requests that the whole fleet sends to `service` in a second.
    pub fn fleet_rate(&self, service: &ServiceName) -> f64 {
        let own = self.with_budget(service, WindowBudget::fresh_rate);
        own * self.fleet.router_count().max(1) as f64
    }

    fn with_budget<R>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut WindowBudget, &WindowBudgetConfig, MonotonicTime) -> R,
    ) -> R {
        let (config, now) = (self.repeat_bounds(), self.clock.now());
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(service.clone()).or_default();
        action(budget, &config, now)
    }

    fn repeat_bounds(&self) -> WindowBudgetConfig {
        let bounds = self.settings.load().bounds;
        let known = self.fleet.router_count() as f64 * PARTS_PER_ROUTER;
        WindowBudgetConfig {
            ratio: bounds.retry_ratio * RATIO_PART,
            burst: bounds.retry_burst / known.max(LEAST_BURST_PARTS),
            window: bounds.retry_window,
        }
    }
}

/// Shared state of the relay.
pub type SharedCore = Arc<RelayCore>;
