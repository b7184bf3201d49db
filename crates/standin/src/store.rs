//! Stand-in of the metadata store of the users' platform, which holds topics of records with or
//! without keys.
//!
//! Records of the operator and the upstreams are written with [`StoreStandin::put`]. Faults are
//! injected as into every stand-in; an outage can be limited to paths with a given prefix. A response holds a limited number of
//! bytes, and tests may limit the link and the calls per second too.

mod store_limits;
mod store_state;
mod topic_log;

pub use store_limits::StoreLimits;
pub use store_state::StoreCopy;
pub(crate) use store_state::StoreState;

use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;

use crate::faults::FaultGate;
use crate::server::{CrashMode, StandinApi, StandinServer};

/// A running store stand-in; clones share the same store.
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

    /// Appends a value of `key` to a keyed topic; an empty value removes the key. The key need not be UTF-8.
    pub fn put(&self, topic: &str, key: &(impl AsRef<[u8]> + ?Sized), value: &[u8]) {
        self.state.put(topic, key, value);
    }

    /// Newest value of `key` in a keyed topic.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        self.state.newest(topic, key)
    }

    /// Removes the records of `topic` from its log; the newest value of each key stays available.
    pub fn compact(&self, topic: &str) {
        self.state.compact(topic);
    }

    /// Sets whether keyed topics keep no record but the newest one of each key from now on.
    pub fn forget_history(&self, forgets: bool) {
        self.state.forget_history(forgets);
    }

    /// Copies the store's content.
    pub fn copy(&self) -> StoreCopy {
        self.state.copy()
    }

    /// Replaces the content by an older `copy`, in a new era; returns the former content. What the operator and the upstreams wrote since is
    /// to be written again by the test.
    pub fn come_back_from(&self, copy: StoreCopy) -> StoreCopy {
        self.state.come_back_from(copy)
    }

    /// Writes the newest records of a keyed topic again as they were in `lost`.
    pub fn write_again(&self, topic: &str, lost: &StoreCopy) {
        self.state.write_again(topic, lost);
    }

    /// Sets the limits of the link and of the calls per second.
    pub fn limit(&self, limits: StoreLimits) {
        self.state.limit(limits);
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.state.calls()
    }

    /// Number of pages given out so far to those that list all keys of a keyed topic.
    pub fn listed_pages(&self, topic: &str) -> u64 {
        self.state.listed_pages(topic)
    }
}

impl Deref for StoreStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}
