//! Deployment under load: platform, engines and routers in this process, or external routers.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_decisions::config::{
    ChangeSet, ConfigRecord, ModelSpec, ObjectChange, ObjectKey, ObjectSpec, RuleSpec, VersionSpec,
    WorkspaceSpec, key_digest,
};
use ferry_decisions::labels::LabelSelector;
use ferry_kernel::wall_clock;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use ferry_platform::log::LogClient;
use ferry_router::daemon::RouterDaemon;
use ferry_router::settings::RouterSettings;
use ferry_standin::{EngineOptions, EngineStandin, PlatformOptions, PlatformStandin};
use serde_json::json;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::{LoadError, LoadExperiment};

/// Model that the calls request.
pub(super) const MODEL: &str = "assistant";
/// Prefix of the names of the routers and of their threads; the processor time of the routers is
/// found by it.
pub(super) const ROUTER_NAME_PREFIX: &str = "router-";
/// Model version that all engines serve.
const VERSION: &str = "load-1";
/// Worker threads of one router.
const ROUTER_WORKERS: usize = 2;
/// Queue limit of one engine, in requests.
const ENGINE_QUEUE_LIMIT: usize = 4_096;
/// Timeout for one append, and for the routers to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks whether the routers are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A router with its own runtime.
struct LoadRouter {
    /// `None` once the router is being stopped.
    daemon: Option<RouterDaemon>,
    /// `None` only while the router is being dropped.
    runtime: Option<Runtime>,
}

/// The platform, engines and routers that serve the calls.
pub(super) struct LoadDeployment {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    routers: Vec<LoadRouter>,
    targets: Vec<SocketAddr>,
}

impl LoadDeployment {
    /// Starts the deployment of `experiment` and waits until it is ready.
    ///
    /// With external `targets`, only the platform is started.
    pub(super) async fn start(experiment: &LoadExperiment) -> Result<Self, LoadError> {
        let platform = PlatformStandin::start(PlatformOptions::default())
            .await
            .map_err(|error| LoadError::not_started("platform", &error))?;
        let mut deployment = Self {
            platform,
            engines: Vec::new(),
            routers: Vec::new(),
            targets: experiment.targets.clone(),
        };
        if experiment.targets.is_empty() {
            deployment.start_engines(experiment).await?;
            deployment.start_routers(experiment.routers).await?;
            let offset = deployment.publish(experiment).await?;
            deployment.wait_until_ready(offset).await?;
        }
        Ok(deployment)
    }

    /// Addresses of the routers.
    pub(super) fn targets(&self) -> Vec<SocketAddr> {
        self.targets.clone()
    }

    /// Addresses of the engines, and the model version that they serve.
    pub(super) fn engines(&self) -> (Vec<SocketAddr>, &'static str) {
        let addresses = self.engines.iter().map(|engine| engine.address());
        (addresses.collect(), VERSION)
    }

    /// Stops the deployment: routers first, then engines, then the platform.
    pub(super) async fn stop(mut self) {
        for router in &mut self.routers {
            router.stop().await;
        }
        futures::future::join_all(self.engines.iter().map(EngineStandin::stop)).await;
        self.platform.stop().await;
    }

    fn url(&self) -> String {
        format!("http://{}", self.platform.address())
    }

    async fn start_engines(&mut self, experiment: &LoadExperiment) -> Result<(), LoadError> {
        let fleet = &experiment.engines;
        for index in 0..fleet.count {
            let options = EngineOptions {
                platform: Some(self.url()),
                name: format!("engine-{index}").as_str().into(),
                versions: vec![VERSION.into()],
                batch_limit: fleet.batch,
                queue_limit: ENGINE_QUEUE_LIMIT,
                step: Duration::from_millis(fleet.step_ms),
                ..EngineOptions::default()
            };
            let engine = EngineStandin::start(options).await;
            let engine = engine.map_err(|error| LoadError::not_started("engine", &error))?;
            self.engines.push(engine);
        }
        Ok(())
    }

    async fn start_routers(&mut self, count: usize) -> Result<(), LoadError> {
        for index in 0..count {
            let router = LoadRouter::start(index, &self.url()).await?;
            if let Some(daemon) = &router.daemon {
                self.platform.put_host(host_entry(index, daemon));
                self.targets.push(daemon.callers_address());
            }
            self.routers.push(router);
        }
        Ok(())
    }

    async fn publish(&self, experiment: &LoadExperiment) -> Result<u64, LoadError> {
        let change = ConfigRecord::Change(change_set(experiment));
        let data = serde_json::to_vec(&change).unwrap_or_default();
        let log = LogClient::new(&self.url(), READY_TIMEOUT);
        let appended = log.append("config", data).await;
        appended.map_err(|error| LoadError::not_started("configuration", &error))
    }

    async fn wait_until_ready(&self, offset: u64) -> Result<(), LoadError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self
            .routers
            .iter()
            .all(|r| r.is_ready(offset, self.engines.len()))
        {
            if Instant::now() >= deadline {
                return Err(LoadError::NotReady(READY_TIMEOUT.as_secs()));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl LoadRouter {
    async fn start(index: usize, url: &str) -> Result<Self, LoadError> {
        let host = format!("{ROUTER_NAME_PREFIX}{index}");
        let settings = RouterSettings::parse(&host, &settings_text(&host, &zone_of(index), url))?;
        let failed = |error: &dyn ToString| LoadError::not_started("router", &error.to_string());
        let runtime = Builder::new_multi_thread()
            .worker_threads(ROUTER_WORKERS)
            .thread_name(&host)
            .enable_all()
            .build()
            .map_err(|error| failed(&error))?;
        let started = runtime.spawn(RouterDaemon::start(settings)).await;
        let daemon = started.map_err(|error| failed(&error))?;
        Ok(Self {
            daemon: Some(daemon.map_err(|error| failed(&error))?),
            runtime: Some(runtime),
        })
    }

    fn is_ready(&self, offset: u64, engines: usize) -> bool {
        self.daemon.as_ref().is_some_and(|daemon| {
            let core = daemon.core();
            let knows_all = core.upstreams.all().len() == engines;
            knows_all && core.lease.check().is_ok() && core.config.status().next_offset > offset
        })
    }

    async fn stop(&mut self) {
        if let (Some(daemon), Some(runtime)) = (self.daemon.take(), &self.runtime) {
            let _ = runtime.spawn(daemon.stop()).await;
        }
    }
}

impl Drop for LoadRouter {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Each router is in its own availability zone, so that it may keep copies of the bills of
/// other routers.
fn zone_of(index: usize) -> String {
    format!("zone-{index}")
}

fn host_entry(index: usize, daemon: &RouterDaemon) -> HostEntry {
    HostEntry {
        name: format!("{ROUTER_NAME_PREFIX}{index}").as_str().into(),
        zone: zone_of(index).as_str().into(),
        role: HostRole::Router,
        state: HostState::Live,
        address: daemon.peers_address().to_string(),
        versions: Vec::new(),
        service: None,
    }
}

fn change_set(experiment: &LoadExperiment) -> ChangeSet {
    let mut changes = vec![
        create_object(
            MODEL,
            ObjectSpec::Model(ModelSpec {
                labels: Default::default(),
            }),
        ),
        create_object(VERSION, ObjectSpec::Version(version_spec())),
        create_object("all", ObjectSpec::Rule(rule_spec())),
    ];
    let mut names: Vec<&str> = experiment
        .mix
        .iter()
        .map(|s| s.workspace.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let streams = experiment
            .mix
            .iter()
            .filter(|stream| stream.workspace == name);
        let mut digests: Vec<_> = streams
            .map(|stream| key_digest(&stream.bearer_key()))
            .collect();
        digests.sort_unstable();
        digests.dedup();
        let workspace = WorkspaceSpec {
            labels: Default::default(),
            key_digests: digests,
            limit: None,
            services: Vec::new(),
        };
        changes.push(create_object(name, ObjectSpec::Workspace(workspace)));
    }
    ChangeSet {
        id: Uuid::new_v4(),
        operator: "load".to_owned(),
        time: wall_clock::now(),
        changes,
    }
}

fn create_object(name: &str, spec: ObjectSpec) -> ObjectChange {
    ObjectChange {
        key: ObjectKey::new(spec.kind(), name),
        base: None,
        spec: Some(spec),
    }
}

fn version_spec() -> VersionSpec {
    let document = json!({ "model": MODEL });
    serde_json::from_value(document).expect("a version specification needs only a model")
}

fn rule_spec() -> RuleSpec {
    RuleSpec {
        workspaces: LabelSelector::default(),
        requests: LabelSelector::default(),
        allow: Some(LabelSelector::default()),
        deny: None,
        allow_versions: Vec::new(),
    }
}

fn settings_text(host: &str, zone: &str, url: &str) -> String {
    format!(
        "host: {host}
zone: {zone}
listen: {{callers: '127.0.0.1:0', admin: '127.0.0.1:0', peers: '127.0.0.1:0'}}
platform: {{url: '{url}'}}
secrets:
  peers: load-peer-secret-1
  admin_token: load-admin-token-1
  session_keys: [{{id: k1, secret: load-session-secret-1}}]
stop: {{balancer_lag_ms: 100}}
"
    )
}
