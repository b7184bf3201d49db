//! State shared by all parts of a router.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, OnceLock};

use ferry_decisions::guard::RouterId;
use ferry_decisions::lease::LeaseOwner;
use ferry_decisions::membership::{ConfigPosition, MemberRow};
use ferry_decisions::memory::MemoryShares;
use ferry_decisions::names::Incarnation;
use ferry_decisions::session::SessionKeys;
use ferry_kernel::http::{HttpClient, RequestMemory};
use ferry_kernel::supervisor::{Supervisor, TaskPlan};
use ferry_kernel::wall_clock;
use ferry_platform::hosts::HostsClient;
use ferry_platform::log::LogClient;
use ferry_platform::ratings::RatingsClient;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::AdmissionManager;
use crate::appends::AppendLimiter;
use crate::bills::BillManager;
use crate::claims::ClaimManager;
use crate::config::ConfigCell;
use crate::guard::GuardManager;
use crate::joins::JoinTable;
use crate::lease::LeaseCell;
use crate::membership::{MemberTable, ProcessClock};
use crate::peer::PeerHub;
use crate::quarantine::CrashManager;
use crate::settings::RouterSettings;
use crate::trace::TraceBuffer;
use crate::upstream::UpstreamTable;

/// Bytes of a mebibyte.
const BYTES_PER_MIB: usize = 1_024 * 1_024;

/// State of one router process.
pub struct RouterCore {
    /// Settings as read at the start.
    pub settings: RouterSettings,
    /// Incarnation of this process, new at each start.
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
    /// Lease that bounds the age of the configuration.
    pub lease: LeaseCell,
    /// Router hosts of the fleet.
    pub members: MemberTable,
    /// Rate limiter of the appends of claims and bills.
    pub appends: AppendLimiter,
    /// Claims of non-idempotent requests.
    pub claims: ClaimManager,
    /// Runs in progress that duplicate requests may join.
    pub joins: Arc<JoinTable>,
    /// Bills that are not yet on the log, and copies of other routers' bills.
    pub bills: BillManager,
    /// Admission of requests.
    pub admission: AdmissionManager,
    /// Evidence on versions in a roll-out.
    pub guard: Arc<GuardManager>,
    /// Crashes of upstreams, and the requests suspected of them.
    pub crashes: CrashManager,
    /// Upstreams of the deployment.
    pub upstreams: UpstreamTable,
    /// Traces of the decisions on recent requests.
    pub traces: TraceBuffer,
    /// Keys of session tokens.
    pub sessions: SessionKeys,
    /// Memory for bodies of requests.
    pub request_memory: RequestMemory,
    /// Permits that limit the number of requests in progress.
    pub request_permits: Arc<Semaphore>,
    /// Tasks of the requests in progress; a stopping router waits for them.
    pub work: TaskTracker,
    /// Cancels the background tasks after all requests have finished.
    pub closing: CancellationToken,
    /// Keeps the background tasks running until then.
    pub supervisor: Supervisor,
    phase: PhaseCell,
    hub: OnceLock<Arc<PeerHub>>,
}

/// Phase of a router's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum LifecyclePhase {
    /// Accepts requests.
    Serving = 0,
    /// Has announced its stop; accepts requests until the load balancer has noticed.
    Leaving = 1,
    /// Accepts no more requests; finishes those in progress.
    Draining = 2,
}

/// Holds the current phase; can be read and changed by any task.
#[derive(Debug)]
pub struct PhaseCell(AtomicU8);

impl Default for PhaseCell {
    fn default() -> Self {
        Self(AtomicU8::new(LifecyclePhase::Serving as u8))
    }
}

impl PhaseCell {
    /// The current phase.
    pub fn get(&self) -> LifecyclePhase {
        match self.0.load(Ordering::Acquire) {
            0 => LifecyclePhase::Serving,
            1 => LifecyclePhase::Leaving,
            _ => LifecyclePhase::Draining,
        }
    }

    /// Changes the phase to `phase`.
    pub fn set(&self, phase: LifecyclePhase) {
        self.0.store(phase as u8, Ordering::Release);
    }
}

impl RouterCore {
    /// State of a router whose tasks are not yet started.
    pub fn new(settings: RouterSettings, sessions: SessionKeys) -> Self {
        let url = settings.platform.url.clone();
        let timeout = settings.call_timeout();
        let incarnation = Incarnation::random();
        let clock = ProcessClock::start();
        let freshness = settings.freshness();
        let own = initial_row(&settings, incarnation);
        let router = RouterId {
            host: settings.host.clone(),
            incarnation,
        };
        let owner = LeaseOwner {
            host: settings.host.clone(),
            started_at: clock.now(),
            freshness,
        };
        let closing = CancellationToken::new();
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
            appends: AppendLimiter::new(f64::from(settings.platform.appends_per_second)),
            claims: ClaimManager::default(),
            joins: Arc::default(),
            bills: BillManager::default(),
            admission: AdmissionManager::default(),
            guard: Arc::new(GuardManager::new(router)),
            crashes: CrashManager::new(settings.host.clone()),
            upstreams: UpstreamTable::default(),
            traces: TraceBuffer::default(),
            sessions,
            request_memory: RequestMemory::new(MemoryShares::of(
                settings.limits.memory_mib * BYTES_PER_MIB,
            )),
            request_permits: Arc::new(Semaphore::new(settings.limits.in_progress)),
            work: TaskTracker::new(),
            supervisor: Supervisor::new(closing.clone()),
            closing,
            phase: PhaseCell::default(),
            hub: OnceLock::new(),
            settings,
        }
    }

    /// Links to the other routers.
    ///
    /// # Panics
    ///
    /// Panics if called before [`RouterCore::set_hub`]; the daemon sets the hub before it starts
    /// any task.
    pub fn hub(&self) -> &Arc<PeerHub> {
        self.hub
            .get()
            .expect("the hub must be set before tasks start")
    }

    /// Sets the links to the other routers; later calls do not replace them.
    pub fn set_hub(&self, hub: Arc<PeerHub>) {
        self.members.set_address(hub.address());
        let _ = self.hub.set(hub);
    }

    /// Address of the peer port; `None` until it is bound.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.hub.get().map(|hub| hub.address())
    }

    /// Keeps the background task that `start` gives running until `closing` is cancelled.
    pub fn keep<T>(
        self: &Arc<Self>,
        plan: TaskPlan,
        start: impl Fn(Arc<Self>) -> T + Send + 'static,
    ) where
        T: Future<Output = ()> + Send + 'static,
    {
        let core = Arc::clone(self);
        self.supervisor.keep(plan, move || start(Arc::clone(&core)));
    }

    /// Spawns `task`, a piece of work that others don't wait for and that is cancelled when `closing` is; what must go on is kept by
    /// [`Self::keep`].
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(self.closing.clone().run_until_cancelled_owned(task));
    }

    /// Current phase of this router.
    pub fn phase(&self) -> LifecyclePhase {
        self.phase.get()
    }

    /// Changes the phase of this router to `phase`.
    pub fn set_phase(&self, phase: LifecyclePhase) {
        self.phase.set(phase);
    }
}

/// Membership row of this process at its start.
fn initial_row(settings: &RouterSettings, incarnation: Incarnation) -> MemberRow {
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
