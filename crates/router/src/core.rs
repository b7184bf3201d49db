//! State that all parts of a router share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, OnceLock};

use ferry_decisions::guard::RouterId;
use ferry_decisions::lease::LeaseOwner;
use ferry_decisions::membership::{ConfigPosition, MemberRow};
use ferry_decisions::names::Incarnation;
use ferry_decisions::session::SessionKeys;
use ferry_kernel::http::HttpClient;
use ferry_kernel::wall_clock;
use ferry_platform::hosts::HostsClient;
use ferry_platform::log::LogClient;
use ferry_platform::ratings::RatingsClient;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::appends::AppendGate;
use crate::bills::BillDesk;
use crate::claims::ClaimDesk;
use crate::config::ConfigCell;
use crate::guard::GuardManager;
use crate::intake::IntakeDesk;
use crate::joins::JoinTable;
use crate::lease::LeaseCell;
use crate::membership::{MemberTable, ProcessClock};
use crate::peer::PeerHub;
use crate::quarantine::CrashManager;
use crate::settings::RouterSettings;
use crate::trail::TrailRing;
use crate::upstream::UpstreamTable;

/// State of one router process.
pub struct RouterCore {
    /// Settings as read at the start.
    pub settings: RouterSettings,
    /// Identifier of this life of the process.
    pub incarnation: Incarnation,
    /// Monotonic clock of this process.
    pub clock: ProcessClock,
    /// Client of the log service.
    pub log: LogClient,
    /// Client of the host list.
    pub hosts: HostsClient,
    /// Client of the rating service.
    pub ratings: RatingsClient,
    /// Client for upstreams.
    pub http: HttpClient,
    /// Configuration in force here.
    pub config: ConfigCell,
    /// Freshness of the configuration.
    pub lease: LeaseCell,
    /// Router hosts of the fleet.
    pub members: MemberTable,
    /// Gate of the appends of claims and bills.
    pub appends: AppendGate,
    /// Claims of non-idempotent requests.
    pub claims: ClaimDesk,
    /// Runs in progress that further sends may join.
    pub joins: Arc<JoinTable>,
    /// Bills that are not yet durable.
    pub bills: BillDesk,
    /// Which requests are taken in.
    pub intake: IntakeDesk,
    /// Evidence about versions in a roll-out.
    pub guard: Arc<GuardManager>,
    /// Crashes of upstreams, and the requests suspected of them.
    pub crashes: CrashManager,
    /// Upstreams of the deployment.
    pub upstreams: UpstreamTable,
    /// Decisions on recent requests.
    pub trails: TrailRing,
    /// Keys of session tokens.
    pub sessions: SessionKeys,
    /// Places for requests in progress.
    pub places: Arc<Semaphore>,
    /// Requests in progress; waited for at a stop.
    pub work: TaskTracker,
    /// Ends the background tasks once all work is done.
    pub closing: CancellationToken,
    phase: PhaseCell,
    hub: OnceLock<Arc<PeerHub>>,
}

/// Phase of a router's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum LifecyclePhase {
    /// Accepts requests.
    Serving = 0,
    /// Announced its stop; accepts requests until the balancer has noticed.
    Leaving = 1,
    /// Accepts no more requests; finishes those in progress.
    Draining = 2,
}

/// Phase that changes while the process runs.
#[derive(Debug)]
pub struct PhaseCell(AtomicU8);

impl Default for PhaseCell {
    fn default() -> Self {
        Self(AtomicU8::new(LifecyclePhase::Serving as u8))
    }
}

impl PhaseCell {
    /// The present phase.
    pub fn get(&self) -> LifecyclePhase {
        match self.0.load(Ordering::Acquire) {
            0 => LifecyclePhase::Serving,
            1 => LifecyclePhase::Leaving,
            _ => LifecyclePhase::Draining,
        }
    }

    /// Moves on to `phase`.
    pub fn set(&self, phase: LifecyclePhase) {
        self.0.store(phase as u8, Ordering::Release);
    }
}

impl RouterCore {
    /// State of a router that has not started its tasks.
    pub fn new(settings: RouterSettings, sessions: SessionKeys) -> Self {
        let url = settings.platform.url.clone();
        let timeout = settings.call_timeout();
        let incarnation = Incarnation::random();
        let clock = ProcessClock::start();
        let freshness = settings.freshness();
        let own = own_row(&settings, incarnation);
        let router = RouterId {
            host: settings.host.clone(),
            incarnation,
        };
        let owner = LeaseOwner {
            host: settings.host.clone(),
            started_at: clock.now(),
            freshness,
        };
        Self {
            incarnation,
            clock,
            log: LogClient::new(&url, timeout),
            hosts: HostsClient::new(&url, timeout),
            ratings: RatingsClient::new(&url),
            http: HttpClient::default(),
            config: ConfigCell::default(),
            lease: LeaseCell::new(owner, clock),
            members: MemberTable::new(own, freshness, clock),
            appends: AppendGate::new(f64::from(settings.platform.appends_per_second)),
            claims: ClaimDesk::default(),
            joins: Arc::default(),
            bills: BillDesk::default(),
            intake: IntakeDesk::default(),
            guard: Arc::new(GuardManager::new(router)),
            crashes: CrashManager::new(settings.host.clone()),
            upstreams: UpstreamTable::default(),
            trails: TrailRing::default(),
            sessions,
            places: Arc::new(Semaphore::new(settings.limits.in_progress)),
            work: TaskTracker::new(),
            closing: CancellationToken::new(),
            phase: PhaseCell::default(),
            hub: OnceLock::new(),
            settings,
        }
    }

    /// Links to the other routers.
    ///
    /// # Panics
    ///
    /// Panics before [`RouterCore::connect`]; the daemon connects before it starts any task.
    pub fn hub(&self) -> &Arc<PeerHub> {
        self.hub.get().expect("the hub is set before tasks start")
    }

    /// Sets the links to the other routers, once.
    pub fn connect(&self, hub: Arc<PeerHub>) {
        self.members.set_address(hub.address());
        let _ = self.hub.set(hub);
    }

    /// Address of the peer port, once it is bound.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.hub.get().map(|hub| hub.address())
    }

    /// Runs `task` until it ends or the router closes.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(self.closing.clone().run_until_cancelled_owned(task));
    }

    /// Phase of this router's life.
    pub fn phase(&self) -> LifecyclePhase {
        self.phase.get()
    }

    /// Moves on to `phase`.
    pub fn enter(&self, phase: LifecyclePhase) {
        self.phase.set(phase);
    }
}

/// What a process says about itself at its start.
fn own_row(settings: &RouterSettings, incarnation: Incarnation) -> MemberRow {
    MemberRow {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation,
        generation: wall_clock::now().0,
        address: settings.listen.peers,
        sequence: 0,
        config: ConfigPosition::default(),
        log: None,
        log_working: false,
        leaving: false,
        recovered: false,
    }
}
