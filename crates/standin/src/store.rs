//! Stand-in of the platform's metadata store: topics of records, some of them keyed.
//!
//! The operator's and the upstreams' records are written with [`StoreStandin::put`]. Order faults as
//! with every stand-in; an outage may name one path.

mod store_state;
mod topic_log;

pub(crate) use store_state::StoreState;

use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;

use crate::faults::FaultGate;
use crate::server::{CrashMode, StandinApi, StandinServer};

/// A running store.
#[derive(Debug, Clone)]
pub struct StoreStandin {
    server: StandinServer,
    state: Arc<StoreState>,
}

impl StoreStandin {
    /// Starts a store without records.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let (gate, crashes) = FaultGate::new();
        let state = Arc::new(StoreState::default());
        let api = StandinApi::Store(state.clone());
        let server =
            StandinServer::start(listen, api, Arc::new(gate), crashes, CrashMode::Simulate).await?;
        Ok(Self { server, state })
    }

    /// Sets `key` of a keyed topic; an empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        self.state.put(topic, key, value);
    }

    /// Newest value of `key` in a keyed topic.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        self.state.newest(topic, key)
    }

    /// Drops the records of `topic`; the newest of each key stays.
    pub fn compact(&self, topic: &str) {
        self.state.compact(topic);
    }

    /// Calls answered so far.
    pub fn calls(&self) -> u64 {
        self.state.calls()
    }
}

impl Deref for StoreStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}
