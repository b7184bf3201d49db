//! A running relay: starts its parts in order and stops them in reverse.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_kernel::http::{HttpBody, ServerHandle, empty, full, json_response};
use ferry_kernel::metrics;
use ferry_platform::headers::READINESS_PATH;
use ferry_platform::host_settings::{HostSettings, HostSettingsError};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::relay_core::{RelayCore, SharedCore};
use super::status::RelayStatus;
use super::{request, watch};
use crate::core::LifePhase;
use crate::ports::{BoundPort, PortError};

/// Time for which new requests are taken after the request to stop, until the balancer noticed.
const BALANCER_LAG: Duration = Duration::from_millis(3_000);
/// Time kept free at the end of the grace for closing down.
const CLOSING_TIME: Duration = Duration::from_millis(400);
/// Time that links to other routers get to close.
const LINK_CLOSING: Duration = Duration::from_millis(100);

/// Time for the last log lines to be written.
const LAST_LINES: Duration = Duration::from_millis(20);

/// Path of the relay's view at the port of the metrics.
pub const STATUS_PATH: &str = "/status";

/// How a relay is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayOptions {
    /// Port of the metrics at the callers' address; none are served without it.
    pub metrics_port: Option<u16>,
}

/// A relay that serves its ports.
pub struct RelayDaemon {
    core: SharedCore,
    callers: ServerHandle,
    readiness: ServerHandle,
}

impl RelayDaemon {
    /// Binds the ports and starts to follow the store.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound.
    pub async fn start(settings: HostSettings, options: RelayOptions) -> Result<Self, PortError> {
        let core = Arc::new(RelayCore::new(settings));
        let settings = core.settings.load_full();
        watch::start(&core);
        let readiness = serve_readiness(&core, settings.readiness).await?;
        if let Some(port) = options.metrics_port {
            serve_metrics(&core, SocketAddr::new(settings.callers.ip(), port)).await?;
        }
        let callers = serve_callers(&core, settings.callers).await?;
        spdlog::info!("relay started", kv: {
            host = settings.host.as_str(),
            zone = settings.zone.as_str(),
            callers = callers.address.to_string(),
            store = settings.store.to_string(),
        });
        Ok(Self {
            core,
            callers,
            readiness,
        })
    }

    /// Address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Address of the balancer's question whether the host is ready.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness.address
    }

    /// What it believes now.
    pub fn status(&self) -> RelayStatus {
        RelayStatus::of(&self.core)
    }

    /// Whether another router tells this one what the store holds.
    pub fn is_fed(&self) -> bool {
        self.core.fleet.is_fed()
    }

    /// Takes over settings that were read again; addresses stay as they are.
    pub fn reload(&self, settings: Result<HostSettings, HostSettingsError>) {
        match settings {
            Ok(settings) if settings == **self.core.settings.load() => {
                spdlog::info!("settings read again; nothing changed");
            }
            Ok(settings) => {
                spdlog::info!("settings read again and in force");
                self.core.settings.store(Arc::new(settings));
            }
            Err(error) => spdlog::error!("the old settings stay in force: {}", error),
        }
    }

    /// Stops: first the balancer notices, then requests in progress end, within the grace.
    pub async fn stop(self) {
        let core = &self.core;
        let began = Instant::now();
        let grace = core.settings.load().bounds.stop_grace;
        let end = began + grace.saturating_sub(CLOSING_TIME);
        core.enter(LifePhase::Leaving);
        spdlog::info!("relay leaves", kv: { in_progress = core.work.len() });
        sleep_until(end.min(began + BALANCER_LAG)).await;
        core.enter(LifePhase::Draining);
        core.work.close();
        let idle = async {
            self.callers.stop().await;
            core.work.wait().await;
        };
        if timeout_at(end, idle).await.is_err() {
            spdlog::warn!("relay stops with requests in progress", kv: { in_progress = core.work.len() });
        }
        core.closing.cancel();
        if let Some(hub) = core.fleet.hub() {
            // The process ends anyway; links that do not close in time are cut.
            let _ = timeout(LINK_CLOSING, hub.stop()).await;
        }
        spdlog::info!("relay stopped");
        sleep(LAST_LINES).await;
    }
}

async fn serve_callers(core: &SharedCore, address: SocketAddr) -> Result<ServerHandle, PortError> {
    let server = BoundPort::bind("callers", address)
        .await?
        .with_limits(core.caller_limits.clone());
    let core = Arc::clone(core);
    let handler = move |request, _| request::handle(Arc::clone(&core), request);
    server.serve(handler)
}

async fn serve_readiness(
    core: &SharedCore,
    address: SocketAddr,
) -> Result<ServerHandle, PortError> {
    let server = BoundPort::bind("readiness", address).await?;
    let core = Arc::clone(core);
    let handler = move |request: Request<Incoming>, _| {
        let core = Arc::clone(&core);
        async move { readiness(&core, request.uri().path()) }
    };
    server.serve(handler)
}

fn readiness(core: &RelayCore, path: &str) -> Response<HttpBody> {
    let status = match (path == READINESS_PATH, core.is_ready()) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

async fn serve_metrics(core: &SharedCore, address: SocketAddr) -> Result<(), PortError> {
    let server = BoundPort::bind("metrics", address).await?;
    let core = Arc::clone(core);
    let handler = move |request: Request<Incoming>, _| {
        let core = Arc::clone(&core);
        async move { views(&core, request.uri().path()) }
    };
    server.serve(handler).map(drop)
}

fn views(core: &RelayCore, path: &str) -> Response<HttpBody> {
    match path {
        STATUS_PATH => json_response(StatusCode::OK, &RelayStatus::of(core)),
        _ => Response::new(full(metrics::render())),
    }
}
