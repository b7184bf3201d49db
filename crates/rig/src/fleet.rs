//! A fleet: one platform, engines, services and routers, each a process of its own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use ferry_decisions::config::{ChangeSet, ConfigRecord, ObjectChange, ObjectKey, ObjectSpec};
use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_kernel::wall_clock;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use ferry_platform::log::LogClient;
use hyper::Method;
use serde::Serialize;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::link_relay::LinkRelay;
use crate::process::{ChildProcess, RigError};
use crate::wait::eventually;

/// Token of the admin ports.
pub const ADMIN_TOKEN: &str = "rig-admin-token-0123456789";
/// Time allowed for one call of the rig itself.
const CALL_WAIT: Duration = Duration::from_secs(10);
/// Last byte of the first router's address.
const FIRST_ROUTER_IP: u8 = 11;

/// Binaries under test.
#[derive(Debug, Clone)]
pub struct Programs {
    /// `ferry-router`.
    pub router: PathBuf,
    /// `ferry-standin`.
    pub standin: PathBuf,
    /// `ferryctl`.
    pub ctl: PathBuf,
}

/// A router with its relays.
#[derive(Debug)]
pub struct RouterNode {
    /// Name of its host.
    pub host: String,
    /// Address that it listens on and dials from.
    pub ip: IpAddr,
    /// Its process.
    pub process: ChildProcess,
    /// Relay between it and the platform.
    pub platform_link: LinkRelay,
    /// Relay in front of its peer port.
    pub peer_link: LinkRelay,
}

/// A stand-in engine.
#[derive(Debug)]
pub struct EngineNode {
    /// Name of its host.
    pub host: String,
    /// Its process.
    pub process: ChildProcess,
}

/// A stand-in service.
pub type ServiceNode = EngineNode;

/// The whole fleet; all processes end when it is dropped.
#[derive(Debug)]
pub struct FleetRig {
    pub(crate) programs: Programs,
    pub(crate) folder: tempfile::TempDir,
    http: HttpClient,
    /// The platform.
    pub platform: ChildProcess,
    /// Engines in the order of their start.
    pub engines: Vec<EngineNode>,
    /// Services in the order of their start.
    pub services: Vec<ServiceNode>,
    /// Routers in the order of their start.
    pub routers: Vec<RouterNode>,
}

impl FleetRig {
    /// Starts the platform with further `flags`, and nothing else.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn start(programs: Programs, flags: &[&str]) -> Result<Self, RigError> {
        let folder = tempfile::tempdir()?;
        let mut arguments = words(&["platform", "--listen", "127.0.0.1:0"]);
        arguments.extend(words(flags));
        let log = folder.path().join("platform.log");
        let platform = ChildProcess::start(&programs.standin, &arguments, &log).await?;
        Ok(Self {
            programs,
            folder,
            http: HttpClient::default(),
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
        })
    }

    /// Base address of the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform.address("listening"))
    }

    /// A client of the platform's log.
    pub fn log(&self) -> LogClient {
        LogClient::new(&self.platform_url(), CALL_WAIT)
    }

    /// Starts an engine that serves `versions`, with further `flags`.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn add_engine(
        &mut self,
        host: &str,
        versions: &[&str],
        flags: &[&str],
    ) -> Result<(), RigError> {
        let url = self.platform_url();
        let mut arguments = words(&["engine", "--listen", "127.0.0.1:0", "--platform", &url]);
        arguments.extend(words(&["--name", host, "--zone", "zone-a"]));
        for version in versions {
            arguments.extend(words(&["--version", version]));
        }
        arguments.extend(words(flags));
        let process = self.start_standin(host, &arguments).await?;
        let host = host.to_owned();
        self.engines.push(EngineNode { host, process });
        Ok(())
    }

    /// Starts a host that runs `service`, with further `flags`.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn add_service(
        &mut self,
        host: &str,
        service: &str,
        flags: &[&str],
    ) -> Result<(), RigError> {
        let url = self.platform_url();
        let mut arguments = words(&["service", "--listen", "127.0.0.1:0", "--platform", &url]);
        arguments.extend(words(&["--name", host, "--zone", "zone-a"]));
        arguments.extend(words(&["--service", service]));
        arguments.extend(words(flags));
        let process = self.start_standin(host, &arguments).await?;
        let host = host.to_owned();
        self.services.push(ServiceNode { host, process });
        Ok(())
    }

    /// Starts the next router and lists its host.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn add_router(&mut self) -> Result<(), RigError> {
        self.add_router_with("").await
    }

    /// Starts the next router with `extra` lines at the end of its settings.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn add_router_with(&mut self, extra: &str) -> Result<(), RigError> {
        let number = self.routers.len() as u8;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, FIRST_ROUTER_IP + number));
        let host = format!("router-{}", number + 1);
        let zone = format!("zone-{}", ["a", "b", "c"][usize::from(number) % 3]);
        let platform_link = LinkRelay::start(IpAddr::V4(Ipv4Addr::LOCALHOST)).await?;
        platform_link.set_target(parse(&self.platform.address("listening")));
        let peer_link = LinkRelay::start(ip).await?;
        let settings = router_settings(&host, &zone, ip, platform_link.address, extra);
        let file = self.folder.path().join(format!("{host}.yaml"));
        std::fs::write(&file, settings)?;
        let process = self.start_router(&host, &file).await?;
        peer_link.set_target(parse(&process.address("peers")));
        let entry = router_entry(&host, &zone, &peer_link);
        self.routers.push(RouterNode {
            host,
            ip,
            process,
            platform_link,
            peer_link,
        });
        self.list_host(&entry).await;
        Ok(())
    }

    /// Starts the program of router `index` again under the same name.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn restart_router(&mut self, index: usize) -> Result<(), RigError> {
        let host = self.routers[index].host.clone();
        let file = self.folder.path().join(format!("{host}.yaml"));
        let process = self.start_router(&host, &file).await?;
        let node = &mut self.routers[index];
        node.peer_link.set_target(parse(&process.address("peers")));
        node.process = process;
        Ok(())
    }

    /// Cuts router `index` off from all other routers, in both directions.
    pub fn cut_peers(&self, index: usize) {
        let cut = &self.routers[index];
        cut.peer_link.cut();
        for other in self.routers.iter().filter(|node| node.host != cut.host) {
            other.peer_link.cut_source(cut.ip);
        }
    }

    /// Cuts the links between two groups of routers, in both directions.
    pub fn cut_between(&self, group: &[usize], others: &[usize]) {
        let pairs = group.iter().flat_map(|a| others.iter().map(|b| (*a, *b)));
        for (a, b) in pairs {
            let (a, b) = (&self.routers[a], &self.routers[b]);
            a.peer_link.cut_source(b.ip);
            b.peer_link.cut_source(a.ip);
        }
    }

    /// Lifts all cuts between routers.
    pub fn heal_peers(&self) {
        for node in &self.routers {
            node.peer_link.heal();
        }
    }

    /// Lifts all cuts between routers and to the platform.
    pub fn heal(&self) {
        for node in &self.routers {
            node.peer_link.heal();
            node.platform_link.heal();
        }
    }

    /// Address for callers of router `index`.
    pub fn callers(&self, index: usize) -> String {
        self.routers[index].process.address("callers")
    }

    /// Answer of router `index` on its admin port.
    pub async fn admin(&self, index: usize, path: &str) -> Option<Value> {
        let address = self.routers[index].process.address("admin");
        let request = HttpRequest::get(&format!("http://{address}{path}")).bearer(ADMIN_TOKEN);
        self.http.fetch_json(request, CALL_WAIT).await.ok()
    }

    /// Metrics of router `index` in the Prometheus text format.
    pub async fn metrics(&self, index: usize) -> Option<String> {
        let address = self.routers[index].process.address("admin");
        let request = HttpRequest::get(&format!("http://{address}/metrics")).bearer(ADMIN_TOKEN);
        let body = self.http.fetch(request, CALL_WAIT).await.ok()?;
        Some(String::from_utf8_lossy(&body).into_owned())
    }

    /// Puts `entry` on the host list.
    pub async fn list_host(&self, entry: &HostEntry) {
        let path = format!("/hosts/{}", entry.name);
        self.order_platform(Method::PUT, &path, entry).await;
    }

    /// Takes `host` off the host list.
    pub async fn unlist_host(&self, host: &str) {
        let path = format!("/hosts/{host}");
        self.order_platform(Method::DELETE, &path, &json!({})).await;
    }

    /// Orders faults at the platform.
    pub async fn platform_faults(&self, faults: &Value) {
        self.order_platform(Method::PUT, "/standin/faults", faults)
            .await;
    }

    /// Lifts all faults at the platform.
    pub async fn platform_heal(&self) {
        self.order_platform(Method::DELETE, "/standin/faults", &json!({}))
            .await;
    }

    /// Sends an order to the platform.
    pub async fn order_platform(&self, method: Method, path: &str, content: &impl Serialize) {
        let address = self.platform.address("listening");
        self.order(&address, method, path, content).await;
    }

    /// Sends an order to the stand-in at `address`.
    ///
    /// # Panics
    ///
    /// Panics when it is refused.
    pub async fn order(&self, address: &str, method: Method, path: &str, content: &impl Serialize) {
        let mut request = HttpRequest::post_json(&format!("http://{address}{path}"), content);
        request.method = method;
        let answer = self.http.fetch(request, CALL_WAIT).await;
        answer.expect("the stand-in takes the order");
    }

    /// Counters of the stand-in at `address`.
    ///
    /// # Panics
    ///
    /// Panics when it does not answer.
    pub async fn counters(&self, address: &str) -> Value {
        let counters = self.counters_if_alive(address).await;
        counters.expect("the stand-in gives its counters")
    }

    /// Counters of the stand-in at `address`; `None` when it does not answer.
    pub async fn counters_if_alive(&self, address: &str) -> Option<Value> {
        let request = HttpRequest::get(&format!("http://{address}/standin/counters"));
        self.http.fetch_json(request, CALL_WAIT).await.ok()
    }

    /// Publishes changes against the newest configuration that any router shows; returns the change's identifier.
    ///
    /// # Panics
    ///
    /// Panics when the log does not take the record.
    pub async fn publish(&self, changes: Vec<(ObjectKey, Option<ObjectSpec>)>) -> Uuid {
        let known = self.newest_config().await;
        let id = Uuid::new_v4();
        let with_base = |(key, spec): (ObjectKey, Option<ObjectSpec>)| ObjectChange {
            base: known["state"]["objects"][key.to_string()]["revision"].as_u64(),
            key,
            spec,
        };
        let change = ChangeSet {
            id,
            operator: "rig".to_owned(),
            time: wall_clock::now(),
            changes: changes.into_iter().map(with_base).collect(),
        };
        let record = ConfigRecord::Change(change);
        let data = serde_json::to_vec(&record).expect("a record has only plain fields");
        let offset = self.log().append("config", data).await;
        offset.expect("the log takes the record");
        id
    }

    /// The configuration of the router that has read furthest; empty before the first record.
    async fn newest_config(&self) -> Value {
        let mut newest = Value::Null;
        for index in 0..self.routers.len() {
            let config = self.admin(index, "/config").await.unwrap_or_default();
            if config["as_of"].as_u64() > newest["as_of"].as_u64() {
                newest = config;
            }
        }
        newest
    }

    /// Publishes changes and waits until every router has folded them.
    pub async fn publish_everywhere(&self, changes: Vec<(ObjectKey, Option<ObjectSpec>)>) {
        let id = self.publish(changes).await;
        for index in 0..self.routers.len() {
            let path = format!("/verdicts/{id}");
            let verdict = eventually("the change is folded", || self.admin(index, &path)).await;
            assert_eq!(verdict["verdict"]["verdict"], "accepted", "{verdict}");
        }
    }

    /// Waits until every router admits work and knows `upstreams` upstreams.
    pub async fn until_ready(&self, upstreams: usize) {
        for index in 0..self.routers.len() {
            eventually("the router is ready", || async move {
                let status = self.admin(index, "/status").await?;
                let known = status["plugins"]["host_list"]["upstreams"].as_u64()?;
                let ready = status["lease_problem"].is_null() && known as usize >= upstreams;
                ready.then_some(())
            })
            .await;
        }
    }

    async fn start_standin(
        &self,
        host: &str,
        arguments: &[String],
    ) -> Result<ChildProcess, RigError> {
        let log = self.folder.path().join(format!("{host}.log"));
        ChildProcess::start(&self.programs.standin, arguments, &log).await
    }

    async fn start_router(&self, host: &str, file: &Path) -> Result<ChildProcess, RigError> {
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let log = self.folder.path().join(format!("{host}.log"));
        ChildProcess::start(&self.programs.router, &arguments, &log).await
    }
}

fn router_entry(host: &str, zone: &str, peer_link: &LinkRelay) -> HostEntry {
    HostEntry {
        name: host.into(),
        zone: zone.into(),
        role: HostRole::Router,
        state: HostState::Live,
        address: peer_link.address.to_string(),
        versions: Vec::new(),
        service: None,
    }
}

fn router_settings(
    host: &str,
    zone: &str,
    ip: IpAddr,
    platform: SocketAddr,
    extra: &str,
) -> String {
    format!(
        "host: {host}
zone: {zone}
listen: {{callers: '{ip}:0', admin: '{ip}:0', peers: '{ip}:0'}}
platform: {{url: 'http://{platform}'}}
secrets:
  peers: rig-peer-secret-0123456789
  admin_token: {ADMIN_TOKEN}
  session_keys: [{{id: k1, secret: rig-session-secret-0123456789}}]
stop: {{balancer_lag_ms: 200}}
{extra}
"
    )
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn parse(address: &str) -> SocketAddr {
    address
        .parse()
        .expect("processes announce socket addresses")
}
