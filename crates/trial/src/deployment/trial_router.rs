//! A router with its own Tokio runtime, so that it can be killed like a process.

use std::net::SocketAddr;

use ferry_router::daemon::RouterDaemon;
use ferry_router::settings::RouterSettings;
use tokio::runtime::{Builder, Runtime};

use super::{ADMIN_TOKEN, TrialError};

/// Age up to which routers consider their configuration fresh, in milliseconds.
pub(super) const FRESHNESS_MS: u64 = 3_000;
/// Worker threads of one router.
const WORKER_THREADS: usize = 2;

/// A running router.
pub struct TrialRouter {
    /// Name of its host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other routers.
    pub peers: SocketAddr,
    /// `None` only while the router is being stopped.
    daemon: Option<RouterDaemon>,
    /// `None` only while the router is being dropped.
    runtime: Option<Runtime>,
}

impl TrialRouter {
    /// Starts router `number` in `zone` with the platform at `url`.
    ///
    /// # Errors
    ///
    /// Fails when its threads cannot be started or its ports cannot be bound.
    pub async fn start(number: usize, zone: &str, url: &str) -> Result<Self, TrialError> {
        let host = format!("router-{number}");
        let settings = RouterSettings::parse(&host, &settings_text(&host, zone, url))?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name(&host)
            .enable_all()
            .build()?;
        let daemon = runtime.spawn(RouterDaemon::start(settings)).await??;
        Ok(Self {
            host,
            zone: zone.to_owned(),
            callers: daemon.callers_address(),
            admin: daemon.admin_address(),
            peers: daemon.peers_address(),
            daemon: Some(daemon),
            runtime: Some(runtime),
        })
    }

    /// Ends the router at once, without waiting for requests in flight.
    pub fn kill(self) {
        drop(self);
    }

    /// Stops the router gracefully.
    pub async fn stop(mut self) {
        if let (Some(daemon), Some(runtime)) = (self.daemon.take(), &self.runtime) {
            let _ = runtime.spawn(daemon.stop()).await;
        }
    }
}

impl Drop for TrialRouter {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn settings_text(host: &str, zone: &str, url: &str) -> String {
    format!(
        "host: {host}
zone: {zone}
listen: {{callers: '127.0.0.1:0', admin: '127.0.0.1:0', peers: '127.0.0.1:0'}}
platform: {{url: '{url}'}}
secrets:
  peers: trial-peer-secret
  admin_token: {ADMIN_TOKEN}
  session_keys: [{{id: k1, secret: trial-session-secret}}]
freshness_ms: {FRESHNESS_MS}
stop: {{balancer_lag_ms: 200}}
"
    )
}
