//! Stand-in of an upstream on the users' platform.
//!
//! It answers requests that are bound to it, with a whole body or a stream of events, and records
//! every request that it received and how the request ended.

mod replica_run;
mod replica_state;

pub use replica_run::{ReplicaRun, RunStatus};
pub(crate) use replica_state::ReplicaState;
pub use replica_state::{DEFAULT_ZONE, HEALTH_PATH, ReplicaOptions, ReplicaPlan};

use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord, UpstreamStage};
use ferry_decisions::time::UnixMillis;
use ferry_kernel::ticks;
use ferry_platform::entries::encode_upstream;
use ferry_platform::store::{
    AppendCondition, StoreClient, TopicPartition, UPSTREAM_TOPIC, encode_keyed,
};

use crate::faults::FaultGate;
use crate::server::{CrashMode, StandinApi, StandinServer};
use crate::store::StoreStandin;

/// Interval at which an upstream that runs as a separate process renews its registry entry.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);
/// Timeout for writing a registry entry.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an upstream still serves after it has registered as draining.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// A running upstream stand-in; clones share the same upstream.
#[derive(Debug, Clone)]
pub struct ReplicaStandin {
    server: StandinServer,
    state: Arc<ReplicaState>,
}

impl ReplicaStandin {
    /// Starts an upstream without registering it.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, options: ReplicaOptions) -> io::Result<Self> {
        let (gate, crashes) = FaultGate::new();
        let state = Arc::new(ReplicaState::new(options));
        let api = StandinApi::Replica(state.clone());
        let server =
            StandinServer::start(listen, api, Arc::new(gate), crashes, CrashMode::Simulate).await?;
        Ok(Self { server, state })
    }

    /// Writes the upstream's registry entry into `store`, with the number `sequence` within its
    /// incarnation.
    pub fn register(&self, store: &StoreStandin, stage: UpstreamStage, sequence: u64) {
        let record = self.record(stage, sequence);
        let id = record.incarnation.id.to_string();
        store.put(UPSTREAM_TOPIC, &id, &encode_upstream(&record));
    }

    /// Renews the upstream's entry in the store at `store` periodically, until the future is
    /// dropped.
    pub async fn keep_registered(&self, store: SocketAddr) {
        let client = StoreClient::new(store, STORE_TIMEOUT);
        let mut heartbeats = ticks::every(HEARTBEAT_PERIOD);
        for sequence in 1.. {
            heartbeats.tick().await;
            self.write_entry(&client, UpstreamStage::Ready, sequence)
                .await;
        }
    }

    /// Registers the upstream as draining in the store at `store`, and waits for the drain time.
    pub async fn leave(&self, store: SocketAddr) {
        let client = StoreClient::new(store, STORE_TIMEOUT);
        // Greater than any sequence of `keep_registered`: readers ignore an entry with a smaller one.
        let last = u64::from(u32::MAX);
        self.write_entry(&client, UpstreamStage::Draining, last)
            .await;
        tokio::time::sleep(DRAIN_TIME).await;
    }

    async fn write_entry(&self, client: &StoreClient, stage: UpstreamStage, sequence: u64) {
        let record = self.record(stage, sequence);
        let partition = TopicPartition::only(UPSTREAM_TOPIC);
        let Some(content) = encode_keyed(record.incarnation.id.as_str(), &encode_upstream(&record))
        else {
            spdlog::error!(
                "cannot register the upstream: its id is too long; choose a shorter one"
            );
            return;
        };
        let appended = client
            .append(partition, [&content[..]], AppendCondition::None)
            .await;
        if let Err(error) = appended {
            spdlog::warn!(
                "cannot write the upstream's entry: {}; check that the store is reachable",
                error
            );
        }
    }

    /// The upstream's registry entry.
    pub fn record(&self, stage: UpstreamStage, sequence: u64) -> UpstreamRecord {
        let options = self.state.options();
        UpstreamRecord {
            incarnation: UpstreamIncarnation {
                id: options.id.as_str().into(),
                started_at: Some(UnixMillis(1)),
            },
            service: options.service.as_str().into(),
            address: self.address(),
            zone: options.zone.as_str().into(),
            version: options.version.as_str().into(),
            slots: options.slots,
            stage,
            warm_up: self.state.cold_left(),
            sequence,
        }
    }

    /// Sets how later requests are answered.
    pub fn plan(&self, plan: ReplicaPlan) {
        self.state.set_plan(plan);
    }

    /// Requests received so far in order of arrival, with how each ended.
    pub fn runs(&self) -> Vec<ReplicaRun> {
        self.state.runs()
    }
}

impl Deref for ReplicaStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}
