//! Test fixture for relays: a store, upstreams of one service, and callers with one key.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::limits::ColdSpec;
use ferry_decisions::names::ServiceName;
use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::{
    AllowedRegions, KeyHolder, ModelCost, RequestLimits, RouteRule, RunKind, ServiceShare,
    ServiceSpec,
};
use ferry_kernel::http::HttpRequest;
use ferry_platform::entries::{CONFIG_KEY, encode_evacuation, encode_rules, evacuation_key};
use ferry_platform::headers::CallerHeaders;
use ferry_platform::store::OPERATOR_TOPIC;
use ferry_standin::replica::{DEFAULT_ZONE, HEALTH_PATH};
use ferry_standin::{ReplicaOptions, ReplicaStandin, StoreStandin};
use hyper::Method;
use hyper::header::{HOST, HeaderValue};
use smallvec::smallvec;

/// Host name that all rules match.
pub const HOST_NAME: &str = "clinic.example";
/// API key of the only workspace.
pub const KEY: &str = "key-1";
/// Workspace that the key belongs to.
pub const WORKSPACE: &str = "intake";
/// Service of all upstreams.
pub const SERVICE: &str = "letters";
/// Maximum size of a request body, in bytes.
const BODY_LIMIT: usize = 2_000;
/// Maximum number of connections to an upstream.
const CONNECTION_LIMIT: u32 = 100;
/// Requests that an upstream runs at once.
const SLOTS: u32 = 8;
/// Deadline that callers send with their requests.
pub const FIXTURE_DEADLINE: Duration = Duration::from_secs(8);

/// A store, with the records that operators and upstreams write into it.
#[derive(Debug)]
pub struct RelayFixture {
    /// Stand-in of the store.
    pub store: StoreStandin,
    /// Request limits of the configurations that are written next.
    pub limits: RequestLimits,
    /// Models of the service in the configurations that are written next; empty for a plain service.
    pub models: Vec<ModelCost>,
    /// Limit on requests to cold upstreams in the configurations that are written next.
    pub cold: ColdSpec,
    /// Path of the service's health check in the configurations that are written next; absent if it has none.
    pub health_path: Option<String>,
    /// Further services of the configurations that are written next.
    pub services: Vec<ServiceSpec>,
}

impl RelayFixture {
    /// Starts a store without records.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Ok(Self {
            store: StoreStandin::start(loopback()).await?,
            limits: RequestLimits {
                body_bytes: BODY_LIMIT,
                ..RequestLimits::default()
            },
            models: Vec::new(),
            cold: ColdSpec::default(),
            health_path: Some(HEALTH_PATH.to_owned()),
            services: Vec::new(),
        })
    }

    /// Writes a configuration with `rules` as `revision`, with the key of the only workspace.
    pub fn configure(&self, revision: u64, rules: &[RouteRule]) {
        let config = self.configuration(revision, rules);
        self.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config);
    }

    /// A configuration with `rules` as `revision`, with the key of the only workspace, as the operator writes it.
    pub fn configuration(&self, revision: u64, rules: &[RouteRule]) -> Vec<u8> {
        let holder = KeyHolder {
            workspace: WORKSPACE.into(),
            priority: None,
            regions: AllowedRegions::default(),
        };
        self.encode(revision, rules, &[(KEY, holder)])
    }

    /// Writes a configuration with `rules` and `keys` as `revision`.
    pub fn configure_keys(&self, revision: u64, rules: &[RouteRule], keys: &[(&str, KeyHolder)]) {
        let config = self.encode(revision, rules, keys);
        self.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config);
    }

    /// Writes the operator's record that evacuates `zone`.
    pub fn evacuate(&self, zone: &str) {
        self.put_evacuation(zone, &encode_evacuation());
    }

    /// Removes that record.
    pub fn end_evacuation(&self, zone: &str) {
        self.put_evacuation(zone, b"");
    }

    /// Writes `value` as the record that evacuates `zone`.
    pub fn put_evacuation(&self, zone: &str, value: &[u8]) {
        let key = evacuation_key(&zone.into());
        self.store.put(OPERATOR_TOPIC, &key, value);
    }

    fn encode(&self, revision: u64, rules: &[RouteRule], keys: &[(&str, KeyHolder)]) -> Vec<u8> {
        let service = ServiceSpec {
            name: SERVICE.into(),
            connections: CONNECTION_LIMIT,
            models: self.models.clone(),
            cold: self.cold,
            health_path: self.health_path.clone(),
        };
        let others = self.services.iter().cloned();
        let services: Vec<ServiceSpec> = [service].into_iter().chain(others).collect();
        encode_rules(revision, &self.limits, rules, keys, &services)
    }

    /// Starts an upstream of `version` and registers it.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start_replica(&self, id: &str, version: &str) -> io::Result<ReplicaStandin> {
        self.start_replica_in(id, version, DEFAULT_ZONE).await
    }

    /// Starts an upstream of `version` in the availability zone `zone`, and registers it.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start_replica_in(
        &self,
        id: &str,
        version: &str,
        zone: &str,
    ) -> io::Result<ReplicaStandin> {
        let options = ReplicaOptions {
            id: id.to_owned(),
            service: SERVICE.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            slots: SLOTS,
        };
        let replica = ReplicaStandin::start(loopback(), options).await?;
        replica.register(&self.store, UpstreamStage::Ready, 1);
        Ok(replica)
    }
}

/// Loopback address with port 0, which binds any free port.
fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// A rule for the path prefix `prefix` that sends requests to [`SERVICE`].
pub fn fixture_rule(prefix: &str, run: RunKind) -> RouteRule {
    RouteRule {
        name: prefix.into(),
        host: HOST_NAME.to_owned(),
        path_prefix: prefix.to_owned(),
        run,
        attempts: 3,
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_secs(1),
        event_gap: None,
        priority: 1,
        shares: smallvec![ServiceShare {
            service: ServiceName::new(SERVICE),
            weight: 1.0,
        }],
        cascade: smallvec![],
        public: false,
        has_affinity: false,
        regions: AllowedRegions::default(),
    }
}

/// Headers of the request `attempt_id` with [`KEY`] and the default deadline.
pub fn fixture_headers(attempt_id: &str) -> CallerHeaders<'_> {
    CallerHeaders {
        model: None,
        attempt_id,
        key: Some(KEY),
        deadline: Some(FIXTURE_DEADLINE),
        ..CallerHeaders::default()
    }
}

/// A request for `path` to the relay with the callers' address `relay`.
pub fn fixture_request(relay: SocketAddr, path: &str, headers: &CallerHeaders<'_>) -> HttpRequest {
    let url = format!("http://{relay}{path}");
    let mut request = HttpRequest::new(Method::POST, &url, Bytes::from_static(b"a letter"));
    headers.write(&mut request.headers);
    let host = HeaderValue::from_static(HOST_NAME);
    request.headers.insert(HOST, host);
    request
}
