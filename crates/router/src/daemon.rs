//! A running router: starts its parts in order and stops them in reverse.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::session::SessionKeys;
use ferry_kernel::http::ServerHandle;
use ferry_kernel::metrics;
use ferry_kernel::supervisor::TaskPlan;
use tokio::time::{sleep, timeout};

use crate::core::{LifecyclePhase, RouterCore};
use crate::peer::{PeerError, PeerHandler, PeerHub, PeerSettings};
use crate::ports::{BoundPort, PortError};
use crate::settings::RouterSettings;
use crate::{admin, bills, caller, plugin};

/// Why a router does not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// A port cannot be bound.
    #[error(transparent)]
    Port(#[from] PortError),
    /// The peer port cannot be served.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The settings contain no key for session tokens.
    #[error("secrets.session_keys is empty; list at least one key")]
    NoSessionKey,
}

/// Time between two log lines about requests that delay the stop.
const STOP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// A router that serves its three ports.
pub struct RouterDaemon {
    core: Arc<RouterCore>,
    callers: ServerHandle,
    admin: ServerHandle,
}

impl RouterDaemon {
    /// Binds all ports and starts all parts.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or served, or when the settings contain no session key.
    pub async fn start(settings: RouterSettings) -> Result<Self, StartError> {
        let keys = settings.secrets.session_keys.clone();
        let sessions = SessionKeys::new(keys).ok_or(StartError::NoSessionKey)?;
        let callers = BoundPort::bind("callers", settings.listen.callers).await?;
        let admin = BoundPort::bind("admin", settings.listen.admin).await?;
        let core = Arc::new(RouterCore::new(settings, sessions));
        core.set_hub(start_hub(&core).await?);
        core.keep(TaskPlan::helper("metrics"), |_| metrics::keep_up());
        for plugin in plugin::all() {
            (plugin.start)(&core);
        }
        let handler_core = Arc::clone(&core);
        let admin =
            admin.serve(move |request, _| admin::handle(Arc::clone(&handler_core), request))?;
        let handler_core = Arc::clone(&core);
        let callers =
            callers.serve(move |request, _| caller::handle(Arc::clone(&handler_core), request))?;
        spdlog::info!("router started", kv: {
            host = core.settings.host.as_str(),
            callers = callers.address.to_string(),
            admin = admin.address.to_string(),
            peers = core.hub().address().to_string(),
        });
        Ok(Self {
            core,
            callers,
            admin,
        })
    }

    /// Shared state of the router.
    pub fn core(&self) -> &Arc<RouterCore> {
        &self.core
    }

    /// Address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Address for other routers.
    pub fn peers_address(&self) -> SocketAddr {
        self.core.hub().address()
    }

    /// Stops gracefully: requests in progress are finished and all bills are made durable first.
    pub async fn stop(self) {
        let core = &self.core;
        core.set_phase(LifecyclePhase::Leaving);
        core.members.wake();
        spdlog::info!("router leaves", kv: { in_progress = core.work.len() });
        sleep(Duration::from_millis(core.settings.stop.balancer_lag_ms)).await;
        core.set_phase(LifecyclePhase::Draining);
        core.work.close();
        wait_for_requests(core).await;
        self.callers.stop().await;
        bills::drain(core).await;
        core.closing.cancel();
        core.hub().stop().await;
        spdlog::info!("router stopped");
    }
}

/// Waits for the requests in progress, and logs their number at intervals of
/// [`STOP_REPORT_INTERVAL`].
async fn wait_for_requests(core: &RouterCore) {
    while timeout(STOP_REPORT_INTERVAL, core.work.wait())
        .await
        .is_err()
    {
        spdlog::warn!("the stop waits for requests in progress", kv: {
            in_progress = core.work.len(),
            bills = core.bills.at_risk(),
            log_out = core.appends.is_log_unavailable(),
        });
    }
}

async fn start_hub(core: &Arc<RouterCore>) -> Result<Arc<PeerHub>, PeerError> {
    let settings = PeerSettings {
        listen: core.settings.listen.peers,
        secret: core.settings.secrets.peers.clone(),
        host: core.settings.host.clone(),
        zone: core.settings.zone.clone(),
        incarnation: core.incarnation,
    };
    let weak = Arc::downgrade(core);
    let handler: PeerHandler = Arc::new(move |message| {
        let core = weak.upgrade();
        Box::pin(async move { plugin::deliver(core?, message).await })
    });
    PeerHub::start(settings, handler).await
}
