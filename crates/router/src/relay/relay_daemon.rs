//! A running relay: starts its servers and background tasks, and stops them in reverse order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::choice::ChoicePoints;
use ferry_kernel::http::{HttpBody, ServerHandle, collect_limited, empty, full, json_response};
use ferry_kernel::supervisor::TaskPlan;
use ferry_kernel::{loop_lag, metrics};
use ferry_platform::headers::READINESS_PATH;
use ferry_platform::host_settings::{HostSettings, HostSettingsError};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::relay_core::{RelayCore, SharedCore};
use super::run::explain_placement;
use super::status::{
    PlacementPoints, PlacementReport, PlacementRequest, PlacementRequestError, RelayStatus,
};
use super::{request, watch};
use crate::core::LifecyclePhase;
use crate::ports::{BoundPort, PortError};

/// Time for which new requests are still accepted after a stop was requested, until the load
/// balancer has noticed that the relay is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(3_000);
/// Part of the stop's grace period that is reserved at its end for closing links and logs.
const CLOSING_TIME: Duration = Duration::from_millis(400);
/// Time before the reserved part at which requests in progress are ended, so that their callers get answers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// Timeout for closing the links to other routers.
const LINK_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the last log lines to be written.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(20);

/// Path of the relay's status at the metrics port.
pub const STATUS_PATH: &str = "/status";
/// Path at the metrics port that explains where a described request would go.
pub const PLACEMENT_PATH: &str = "/placement";
/// Maximum size of the description of a request, in bytes.
const DESCRIPTION_LIMIT: usize = 64 * 1024;
/// Time in which the description must have come.
const DESCRIPTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Start options of a relay that are not in its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayOptions {
    /// Metrics port at the callers' IP address; `None` serves no metrics.
    pub metrics_port: Option<u16>,
}

/// A started relay with its servers.
pub struct RelayDaemon {
    core: SharedCore,
    callers: ServerHandle,
    readiness: ServerHandle,
}

impl RelayDaemon {
    /// Binds the ports and starts reading the store.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound.
    pub async fn start(settings: HostSettings, options: RelayOptions) -> Result<Self, PortError> {
        let core = Arc::new(RelayCore::new(settings));
        let settings = core.settings.load_full();
        core.keep(TaskPlan::helper("loop lag"), |_| loop_lag::measure());
        core.keep(TaskPlan::helper("metrics"), |_| metrics::keep_up());
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

    /// Address that accepts callers' requests.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Address of the readiness check that the load balancer calls.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness.address
    }

    /// Current status.
    pub fn status(&self) -> RelayStatus {
        RelayStatus::of(&self.core)
    }

    /// Where the request `described` would go now, and why.
    ///
    /// # Errors
    ///
    /// Fails when the description is malformed, or no rule applies to the request.
    pub fn placement(
        &self,
        described: &PlacementRequest,
    ) -> Result<PlacementReport, PlacementRequestError> {
        explain_placement(&self.core, described)
    }

    /// Sets the random numbers of all choices of upstreams, for tests; `None`: each choice draws its own.
    pub fn fix_points(&self, points: Option<PlacementPoints>) {
        *self.core.fixed_points.lock() = points.map(|points| ChoicePoints {
            first: points.first,
            second: points.second,
            turn: 0,
        });
    }

    /// Waits until a task without which the relay is worth nothing can't be kept running.
    pub async fn failed(&self) {
        self.core.supervisor.failed().await;
    }

    /// Whether this router gets the store's content from another router instead of the store.
    pub fn is_synced_from_peer(&self) -> bool {
        self.core.fleet.is_synced_from_peer()
    }

    /// Applies reloaded settings; the addresses bound at the start stay in use.
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

    /// Stops within the grace period: reports not ready, accepts requests until the load balancer has
    /// noticed, then waits for the requests in progress. Those that take longer are answered by the relay itself.
    pub async fn stop(self) {
        let core = &self.core;
        let started_at = Instant::now();
        let grace = core.settings.load().bounds.stop_grace;
        let end = started_at + grace.saturating_sub(CLOSING_TIME);
        core.work_end.set(end - LAST_ANSWERS_TIME);
        core.enter(LifecyclePhase::Leaving);
        spdlog::info!("relay leaves", kv: { in_progress = core.work.len() });
        sleep_until(end.min(started_at + BALANCER_LAG)).await;
        core.enter(LifecyclePhase::Draining);
        core.work.close();
        let idle = async {
            self.callers.stop().await;
            core.work.wait().await;
        };
        if timeout_at(end, idle).await.is_err() {
            spdlog::warn!("grace period over; relay stops with requests in progress", kv: { in_progress = core.work.len() });
        }
        core.closing.cancel();
        if let Some(hub) = core.fleet.hub() {
            // Ignores a timeout: the process ends anyway, which cuts links that are still open.
            let _ = timeout(LINK_CLOSE_TIMEOUT, hub.stop()).await;
        }
        spdlog::info!("relay stopped");
        sleep(LOG_FLUSH_TIME).await;
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
        async move { readiness_response(&core, request.uri().path()) }
    };
    server.serve(handler)
}

fn readiness_response(core: &RelayCore, path: &str) -> Response<HttpBody> {
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
        async move { metrics_response(&core, request).await }
    };
    server.serve(handler).map(drop)
}

async fn metrics_response(core: &SharedCore, request: Request<Incoming>) -> Response<HttpBody> {
    match request.uri().path() {
        STATUS_PATH => json_response(StatusCode::OK, &RelayStatus::of(core)),
        PLACEMENT_PATH if request.method() != Method::POST => detail_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "send the description of a request with POST",
        ),
        PLACEMENT_PATH => placement_response(core, request.into_body()).await,
        _ => Response::new(full(metrics::render())),
    }
}

async fn placement_response(core: &SharedCore, body: Incoming) -> Response<HttpBody> {
    let body = collect_limited(body, DESCRIPTION_LIMIT);
    let Ok(Ok(body)) = timeout(DESCRIPTION_TIMEOUT, body).await else {
        return detail_response(
            StatusCode::BAD_REQUEST,
            "the description of the request did not come whole, or has more than 64 KiB; send it again, with fewer parts",
        );
    };
    let report =
        PlacementRequest::read(&body).and_then(|described| explain_placement(core, &described));
    match report {
        Ok(report) => json_response(StatusCode::OK, &report),
        Err(error) => detail_response(placement_error_status(&error), &error.to_string()),
    }
}

fn placement_error_status(error: &PlacementRequestError) -> StatusCode {
    match error {
        PlacementRequestError::Malformed(_)
        | PlacementRequestError::NoAddress
        | PlacementRequestError::BadPart(_)
        | PlacementRequestError::BadPoint(_)
        | PlacementRequestError::TwoCallers
        | PlacementRequestError::UnknownCaller => StatusCode::BAD_REQUEST,
        PlacementRequestError::UnknownRoute => StatusCode::NOT_FOUND,
        PlacementRequestError::NotReady | PlacementRequestError::UnreadableRule => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

fn detail_response(status: StatusCode, detail: &str) -> Response<HttpBody> {
    json_response(status, &json!({ "detail": detail }))
}
