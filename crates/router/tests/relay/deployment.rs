//! A small deployment: a store, upstreams of one service, and relays.

use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::Once;
use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::http::{HttpClient, HttpError, HttpRequest, collect_limited};
use ferry_kernel::logs::{self, LogLevel};
use ferry_platform::headers::{CallerHeaders, READINESS_PATH};
use ferry_platform::host_settings::{DeploymentBounds, HostSettings};
use ferry_rig::{RelayScene, scene_headers, scene_request};
use ferry_router::relay::{RelayDaemon, RelayOptions};
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::sleep;

pub use ferry_rig::{HOST_NAME, KEY, SERVICE, WORKSPACE, scene_rule as rule};

/// Longest time that a test waits for a condition.
const CONDITION_LIMIT: Duration = Duration::from_secs(20);
/// Time that a caller of the tests allows.
const CALL_LIMIT: Duration = Duration::from_secs(20);
/// Longest answer that a test reads, in bytes.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// A scene, and the settings of its relays.
pub struct Deployment {
    scene: RelayScene,
    /// Bounds of relays that are started next.
    pub bounds: DeploymentBounds,
}

/// An answer that was read to its end.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; `None` when it broke off.
    pub body: Option<Bytes>,
}

impl Deployment {
    /// A store without records.
    pub async fn start() -> Self {
        quiet_logs();
        Self {
            scene: RelayScene::start().await.unwrap(),
            bounds: bounds(),
        }
    }

    /// Starts an upstream of `version` and registers it.
    pub async fn replica(&self, id: &str, version: &str) -> ReplicaStandin {
        self.scene.replica(id, version).await.unwrap()
    }

    /// Starts upstreams with these ids, all of one version, that follow `plan`.
    pub async fn replicas<const N: usize>(
        &self,
        ids: [&str; N],
        plan: &ReplicaPlan,
    ) -> Vec<ReplicaStandin> {
        let mut replicas = Vec::new();
        for id in ids {
            let replica = self.replica(id, "v1").await;
            replica.plan(plan.clone());
            replicas.push(replica);
        }
        replicas
    }

    /// Starts a relay and waits until it is ready.
    pub async fn relay(&self) -> RelayDaemon {
        self.relay_on("entry-1").await
    }

    /// Starts a relay on `host` and waits until it is ready.
    pub async fn relay_on(&self, host: &str) -> RelayDaemon {
        let relay = self.unready_relay(host).await;
        eventually("the relay is ready", async || is_ready(&relay).await).await;
        relay
    }

    /// Starts a relay on `host`.
    pub async fn unready_relay(&self, host: &str) -> RelayDaemon {
        let settings = HostSettings {
            host: host.into(),
            zone: "zone-a".into(),
            callers: loopback(),
            readiness: loopback(),
            store: self.store.address(),
            peer_ports: (0, 0),
            bounds: self.bounds,
        };
        let options = RelayOptions { metrics_port: None };
        RelayDaemon::start(settings, options).await.unwrap()
    }
}

impl DerefMut for Deployment {
    fn deref_mut(&mut self) -> &mut RelayScene {
        &mut self.scene
    }
}

impl Deref for Deployment {
    type Target = RelayScene;

    fn deref(&self) -> &RelayScene {
        &self.scene
    }
}

/// Keeps the relays' log lines out of the tests' output.
fn quiet_logs() {
    static QUIET: Once = Once::new();
    QUIET.call_once(|| logs::install(LogLevel::Error).unwrap());
}

/// Bounds of the tests.
fn bounds() -> DeploymentBounds {
    DeploymentBounds {
        drain: Duration::from_millis(600),
        stop_grace: Duration::from_secs(8),
        revocation: Duration::from_secs(5),
        retry_ratio: 0.9,
        retry_burst: 100.0,
        retry_window: Duration::from_secs(10),
        exposure_share: 0.15,
        exposure_tolerance: 30.0,
        rollback: Duration::from_secs(5),
        session_gap: Duration::from_secs(5),
        contact: Duration::from_secs(3),
    }
}

/// Any free port.
pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// A request to `path` with the usual key.
pub fn request(relay: &RelayDaemon, path: &str, attempt_id: &str) -> HttpRequest {
    request_with(relay, path, &scene_headers(attempt_id))
}

/// A request to `path` with these headers.
pub fn request_with(relay: &RelayDaemon, path: &str, headers: &CallerHeaders<'_>) -> HttpRequest {
    scene_request(relay.callers_address(), path, headers)
}

/// Sends `request` and returns when the head of the answer is there.
pub async fn begin(request: HttpRequest) -> Result<Response<Incoming>, HttpError> {
    HttpClient::default().send(request, CALL_LIMIT).await
}

/// Sends `request` and reads the answer to its end.
pub async fn call(request: HttpRequest) -> WholeAnswer {
    let (head, body) = begin(request).await.unwrap().into_parts();
    WholeAnswer {
        status: head.status,
        headers: head.headers,
        body: collect_limited(body, ANSWER_LIMIT).await.ok(),
    }
}

/// Whether the relay tells the balancer that it is ready.
pub async fn is_ready(relay: &RelayDaemon) -> bool {
    let url = format!("http://{}{READINESS_PATH}", relay.readiness_address());
    let answer = HttpClient::default()
        .send(HttpRequest::get(&url), CALL_LIMIT)
        .await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + CONDITION_LIMIT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < until, "never: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
