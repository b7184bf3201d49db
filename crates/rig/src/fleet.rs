//! A fleet of one platform, engines, services and routers, each in a separate process.

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

use crate::link_proxy::LinkProxy;
use crate::process::{ChildProcess, RigError};
use crate::wait::eventually;

/// Bearer token of the routers' admin ports.
pub const ADMIN_TOKEN: &str = "rig-admin-token-0123456789";
/// Timeout of one call that the rig itself makes.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Last byte of the first router's address; later routers count up from it.
const FIRST_ROUTER_IP: u8 = 11;

/// Paths of the binaries under test.
#[derive(Debug, Clone)]
pub struct Programs {
    /// Path of `ferry-router`.
    pub router: PathBuf,
    /// Path of `ferry-standin`.
    pub standin: PathBuf,
    /// Path of `ferryctl`.
    pub ctl: PathBuf,
}

/// A router process with the TCP proxies around it.
#[derive(Debug)]
pub struct RouterNode {
    /// Name of its host.
    pub host: String,
    /// Address that it listens on and connects from.
    pub ip: IpAddr,
    /// Router process.
    pub process: ChildProcess,
    /// Proxy between the router and the platform.
    pub platform_link: LinkProxy,
    /// Proxy in front of the router's peer port.
    pub peer_link: LinkProxy,
}

/// A stand-in engine.
#[derive(Debug)]
pub struct EngineNode {
    /// Name of its host.
    pub host: String,
    /// Stand-in process.
    pub process: ChildProcess,
}

/// A stand-in service, with the same fields as an engine.
pub type ServiceNode = EngineNode;

/// All processes of a fleet; they are killed when it is dropped.
#[derive(Debug)]
pub struct FleetRig {
    pub(crate) programs: Programs,
    pub(crate) folder: tempfile::TempDir,
    http: HttpClient,
    /// Platform stand-in.
    pub platform: ChildProcess,
    /// Engines in start order.
    pub engines: Vec<EngineNode>,
    /// Services in start order.
    pub services: Vec<ServiceNode>,
    /// Routers in start order.
    pub routers: Vec<RouterNode>,
}

impl FleetRig {
    /// Starts a fleet that consists of the platform only, with additional `flags`.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn start(programs: Programs, flags: &[&str]) -> Result<Self, RigError> {
        let folder = tempfile::tempdir()?;
        let mut arguments = to_strings(&["platform", "--listen", "127.0.0.1:0"]);
        arguments.extend(to_strings(flags));
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

    /// Base URL of the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform.address("listening"))
    }

    /// Creates a client of the platform's log.
    pub fn log(&self) -> LogClient {
        LogClient::new(&self.platform_url(), CALL_TIMEOUT)
    }

    /// Starts an engine that serves `versions`, with additional `flags`.
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
        let mut arguments = to_strings(&["engine", "--listen", "127.0.0.1:0", "--platform", &url]);
        arguments.extend(to_strings(&["--name", host, "--zone", "zone-a"]));
        for version in versions {
            arguments.extend(to_strings(&["--version", version]));
        }
        arguments.extend(to_strings(flags));
        let process = self.start_standin(host, &arguments).await?;
        let host = host.to_owned();
        self.engines.push(EngineNode { host, process });
        Ok(())
    }

    /// Starts a host that runs `service`, with additional `flags`.
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
        let mut arguments = to_strings(&["service", "--listen", "127.0.0.1:0", "--platform", &url]);
        arguments.extend(to_strings(&["--name", host, "--zone", "zone-a"]));
        arguments.extend(to_strings(&["--service", service]));
        arguments.extend(to_strings(flags));
        let process = self.start_standin(host, &arguments).await?;
        let host = host.to_owned();
        self.services.push(ServiceNode { host, process });
        Ok(())
    }

    /// Starts the next router and adds its host to the host list.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn add_router(&mut self) -> Result<(), RigError> {
        self.add_router_with("").await
    }

    /// Same as [`FleetRig::add_router`], with `extra` lines at the end of the router's settings.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn add_router_with(&mut self, extra: &str) -> Result<(), RigError> {
        let number = self.routers.len() as u8;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, FIRST_ROUTER_IP + number));
        let host = format!("router-{}", number + 1);
        let zone = format!("zone-{}", ["a", "b", "c"][usize::from(number) % 3]);
        let platform_link = LinkProxy::start(IpAddr::V4(Ipv4Addr::LOCALHOST)).await?;
        platform_link.set_target(parse(&self.platform.address("listening")));
        let peer_link = LinkProxy::start(ip).await?;
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

    /// Starts router `index` again under the same host name and with the same settings file.
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

    /// Cuts the links between router `index` and all other routers, in both directions.
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

    /// Restores all links between routers.
    pub fn heal_peers(&self) {
        for node in &self.routers {
            node.peer_link.heal();
        }
    }

    /// Restores all links between routers and to the platform.
    pub fn heal(&self) {
        for node in &self.routers {
            node.peer_link.heal();
            node.platform_link.heal();
        }
    }

    /// Address of the callers' port of router `index`.
    pub fn callers(&self, index: usize) -> String {
        self.routers[index].process.address("callers")
    }

    /// Fetches `path` from the admin port of router `index`; `None` when the call fails.
    pub async fn admin(&self, index: usize, path: &str) -> Option<Value> {
        let address = self.routers[index].process.address("admin");
        let request = HttpRequest::get(&format!("http://{address}{path}")).bearer(ADMIN_TOKEN);
        self.http.fetch_json(request, CALL_TIMEOUT).await.ok()
    }

    /// Fetches the metrics of router `index` in the Prometheus text format; `None` when the call fails.
    pub async fn metrics(&self, index: usize) -> Option<String> {
        let address = self.routers[index].process.address("admin");
        let request = HttpRequest::get(&format!("http://{address}/metrics")).bearer(ADMIN_TOKEN);
        let body = self.http.fetch(request, CALL_TIMEOUT).await.ok()?;
        Some(String::from_utf8_lossy(&body).into_owned())
    }

    /// Adds `entry` to the host list, or replaces the entry of that host.
    pub async fn list_host(&self, entry: &HostEntry) {
        let path = format!("/hosts/{}", entry.name);
        self.order_platform(Method::PUT, &path, entry).await;
    }

    /// Removes `host` from the host list.
    pub async fn unlist_host(&self, host: &str) {
        let path = format!("/hosts/{host}");
        self.order_platform(Method::DELETE, &path, &json!({})).await;
    }

    /// Injects `faults` into the platform.
    pub async fn platform_faults(&self, faults: &Value) {
        self.order_platform(Method::PUT, "/standin/faults", faults)
            .await;
    }

    /// Clears all faults of the platform.
    pub async fn platform_heal(&self) {
        self.order_platform(Method::DELETE, "/standin/faults", &json!({}))
            .await;
    }

    /// Sends a control request to the platform.
    pub async fn order_platform(&self, method: Method, path: &str, content: &impl Serialize) {
        let address = self.platform.address("listening");
        self.order(&address, method, path, content).await;
    }

    /// Sends a control request to the stand-in at `address`.
    ///
    /// # Panics
    ///
    /// Panics when the request fails.
    pub async fn order(&self, address: &str, method: Method, path: &str, content: &impl Serialize) {
        let mut request = HttpRequest::post_json(&format!("http://{address}{path}"), content);
        request.method = method;
        let answer = self.http.fetch(request, CALL_TIMEOUT).await;
        answer.expect("the stand-in accepts the control request");
    }

    /// Fetches the counters of the stand-in at `address`.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in does not answer.
    pub async fn counters(&self, address: &str) -> Value {
        let counters = self.counters_if_alive(address).await;
        counters.expect("the stand-in returns its counters")
    }

    /// Fetches the counters of the stand-in at `address`; `None` when it does not answer.
    pub async fn counters_if_alive(&self, address: &str) -> Option<Value> {
        let request = HttpRequest::get(&format!("http://{address}/standin/counters"));
        self.http.fetch_json(request, CALL_TIMEOUT).await.ok()
    }

    /// Publishes changes based on the newest configuration of any router; returns the identifier of the change.
    ///
    /// # Panics
    ///
    /// Panics when the log does not accept the record.
    pub async fn publish(&self, changes: Vec<(ObjectKey, Option<ObjectSpec>)>) -> Uuid {
        let known = self.newest_config().await;
        self.append_change(&known, changes).await
    }

    /// Publishes two changes that are both made on the same configuration; returns their ids.
    pub async fn publish_both(
        &self,
        first: Vec<(ObjectKey, Option<ObjectSpec>)>,
        second: Vec<(ObjectKey, Option<ObjectSpec>)>,
    ) -> [Uuid; 2] {
        let known = self.newest_config().await;
        let (first, second) = tokio::join!(
            self.append_change(&known, first),
            self.append_change(&known, second),
        );
        [first, second]
    }

    /// Appends `changes` that are made on the configuration `known`; returns the id of the change.
    async fn append_change(
        &self,
        known: &Value,
        changes: Vec<(ObjectKey, Option<ObjectSpec>)>,
    ) -> Uuid {
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
        offset.expect("the log accepts the record");
        id
    }

    /// Configuration of the router that has read the most of the log; null before the first record.
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

    /// Publishes changes and waits until every router has folded and accepted them.
    pub async fn publish_everywhere(&self, changes: Vec<(ObjectKey, Option<ObjectSpec>)>) {
        let id = self.publish(changes).await;
        for index in 0..self.routers.len() {
            let path = format!("/verdicts/{id}");
            let verdict = eventually("the change is folded", || self.admin(index, &path)).await;
            assert_eq!(verdict["verdict"]["verdict"], "accepted", "{verdict}");
        }
    }

    /// Waits until every router admits requests and knows at least `upstreams` upstreams.
    pub async fn wait_until_ready(&self, upstreams: usize) {
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

fn router_entry(host: &str, zone: &str, peer_link: &LinkProxy) -> HostEntry {
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

fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn parse(address: &str) -> SocketAddr {
    address
        .parse()
        .expect("processes announce socket addresses")
}
