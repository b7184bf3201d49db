//! Deployment of the trial: platform, engines, a service and three routers on loopback addresses.

mod trial_error;
mod trial_router;

pub use trial_error::TrialError;
pub use trial_router::TrialRouter;

use std::time::Duration;

use ferry_decisions::config::{ObjectKey, ObjectSpec};
use ferry_kernel::settings;
use ferry_operator::config_file::ConfigFile;
use ferry_operator::fleet::{FleetClient, OperatorSettings};
use ferry_operator::publish::{ChangeDraft, ChangeProgress, publish};
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use ferry_standin::platform::RatingRule;
use ferry_standin::{
    EngineOptions, EngineStandin, PlatformOptions, PlatformStandin, ServiceOptions, ServiceStandin,
};
use tokio::time::{Instant, sleep};

/// API key of the sample workspace.
pub const TRIAL_KEY: &str = "trial-key";
/// Bearer token of the admin ports.
pub const ADMIN_TOKEN: &str = "trial-admin-token";
/// Name of the service that is not a model engine.
pub const SERVICE: &str = "letters";
/// Prompt text for which the answer of a small version gets a bad score.
pub const HARD_PROMPT: &str = "hard";
/// Availability zone and version of each engine.
const ENGINES: [(&str, &str); 5] = [
    ("zone-a", "small-1"),
    ("zone-b", "small-1"),
    ("zone-b", "small-2"),
    ("zone-c", "small-2"),
    ("zone-c", "large-1"),
];
/// Availability zones of the routers.
const ROUTER_ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Configuration that is published at the start.
const SAMPLE: &str = include_str!("deployment/sample.yaml");
/// Time limit for the routers to become ready, and for a change to be in force.
const DEPLOYMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All parts of the trial's deployment.
pub struct TrialDeployment {
    /// Platform stand-in with the log, the host list and the ratings.
    pub platform: PlatformStandin,
    /// Stand-ins of model engines.
    pub engines: Vec<EngineStandin>,
    /// Stand-in of the service named [`SERVICE`].
    pub service: ServiceStandin,
    /// Running routers.
    pub routers: Vec<TrialRouter>,
    /// Operator's client of the routers and the log.
    pub fleet: FleetClient,
}

impl TrialDeployment {
    /// Starts all parts and publishes the sample configuration.
    ///
    /// # Errors
    ///
    /// Fails when a part does not start, the routers are not ready in time, or the configuration is refused.
    pub async fn start() -> Result<Self, TrialError> {
        let platform = PlatformStandin::start(PlatformOptions::default()).await?;
        let url = format!("http://{}", platform.address());
        let engines = start_engines(&platform, &url).await?;
        let service = start_service(&url).await?;
        let mut routers = Vec::new();
        for (index, zone) in ROUTER_ZONES.iter().enumerate() {
            let router = TrialRouter::start(index + 1, zone, &url).await?;
            platform.put_host(host_entry(&router));
            routers.push(router);
        }
        let deployment = Self {
            fleet: FleetClient::new(operator_settings(&url, &routers)),
            platform,
            engines,
            service,
            routers,
        };
        deployment.wait_until_ready().await?;
        deployment.publish_sample().await?;
        Ok(deployment)
    }

    /// Returns the number of upstreams: all engines and the service.
    pub fn upstreams(&self) -> usize {
        self.engines.len() + 1
    }

    /// Publishes `changes` and waits until they are in force on all routers, for at most 30 seconds.
    ///
    /// # Errors
    ///
    /// Fails when the changes are refused or no router can be reached.
    pub async fn publish(
        &self,
        changes: Vec<(ObjectKey, ObjectSpec)>,
        on_progress: impl FnMut(&ChangeProgress),
    ) -> Result<ChangeProgress, TrialError> {
        let known = self.fleet.newest_config().await?;
        let mut draft = ChangeDraft::new(known.as_ref());
        for (key, spec) in changes {
            draft.set(key, spec);
        }
        let change = draft.finish(&self.fleet.settings.operator)?;
        Ok(publish(&self.fleet, &change, DEPLOYMENT_TIMEOUT, on_progress).await?)
    }

    /// Stops all parts gracefully, routers first.
    pub async fn stop(self) {
        futures::future::join_all(self.routers.into_iter().map(TrialRouter::stop)).await;
        self.service.stop().await;
        futures::future::join_all(self.engines.iter().map(EngineStandin::stop)).await;
        self.platform.stop().await;
    }

    async fn wait_until_ready(&self) -> Result<(), TrialError> {
        let limit = Instant::now() + DEPLOYMENT_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() >= limit {
                return Err(TrialError::NotReady(DEPLOYMENT_TIMEOUT));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let statuses = self.fleet.statuses().await;
        statuses.iter().all(|router| {
            let Ok(status) = &router.answer else {
                return false;
            };
            let known = status.plugins["host_list"]["upstreams"].as_u64();
            status.lease_problem.is_none() && known == Some(self.upstreams() as u64)
        })
    }

    async fn publish_sample(&self) -> Result<(), TrialError> {
        let sample: ConfigFile = settings::parse("sample.yaml", SAMPLE)?;
        self.publish(sample.objects(), |_| {}).await?;
        Ok(())
    }
}

async fn start_engines(
    platform: &PlatformStandin,
    url: &str,
) -> Result<Vec<EngineStandin>, TrialError> {
    let mut engines = Vec::new();
    for (index, (zone, version)) in ENGINES.into_iter().enumerate() {
        let options = EngineOptions {
            platform: Some(url.to_owned()),
            name: format!("engine-{}", index + 1).as_str().into(),
            zone: zone.into(),
            versions: vec![version.into()],
            ..EngineOptions::default()
        };
        engines.push(EngineStandin::start(options).await?);
        if version.starts_with("small") {
            platform.rate_version(version, small_rating());
        }
    }
    Ok(engines)
}

/// Ratings of a small version: good, except for prompts that contain [`HARD_PROMPT`].
fn small_rating() -> RatingRule {
    RatingRule {
        bad_fraction: 1.0,
        bad_prompt: Some(HARD_PROMPT.to_owned()),
        ..RatingRule::default()
    }
}

async fn start_service(url: &str) -> Result<ServiceStandin, TrialError> {
    let options = ServiceOptions {
        platform: Some(url.to_owned()),
        name: "service-1".into(),
        zone: ROUTER_ZONES[0].into(),
        service: SERVICE.into(),
        ..ServiceOptions::default()
    };
    Ok(ServiceStandin::start(options).await?)
}

fn host_entry(router: &TrialRouter) -> HostEntry {
    HostEntry {
        name: router.host.as_str().into(),
        zone: router.zone.as_str().into(),
        role: HostRole::Router,
        state: HostState::Live,
        address: router.peers.to_string(),
        versions: Vec::new(),
        service: None,
    }
}

fn operator_settings(url: &str, routers: &[TrialRouter]) -> OperatorSettings {
    let admin_ports = routers.iter();
    OperatorSettings {
        operator: "trial".to_owned(),
        platform_url: url.to_owned(),
        admin_token: ADMIN_TOKEN.to_owned(),
        routers: admin_ports
            .map(|router| (router.host.clone(), router.admin))
            .collect(),
        freshness_ms: trial_router::FRESHNESS_MS,
    }
}
