//! What this router knows of the others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use ferry_decisions::names::{HostName, ZoneName};
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::FeedSource;
use crate::peer::PeerHub;

/// Time for which a router that failed to answer is not asked again.
const FAILURE_TIME: Duration = Duration::from_secs(3);

/// A router as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// Host.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of its peer port.
    pub address: SocketAddr,
}

/// Routers, links to them, and the feed.
pub struct FleetDesk {
    /// What this router can tell others.
    pub feed: FeedSource,
    hub: OnceLock<Arc<PeerHub>>,
    /// Routers that are registered; absent until they were first listed.
    routers: Mutex<Option<Vec<RouterEntry>>>,
    /// Routers that failed to answer, and when.
    failed: Mutex<HashMap<HostName, MonotonicTime>>,
    /// Whether another router tells this one what the store holds.
    fed: watch::Sender<bool>,
}

impl Default for FleetDesk {
    fn default() -> Self {
        Self {
            feed: FeedSource::default(),
            hub: OnceLock::new(),
            routers: Mutex::default(),
            failed: Mutex::default(),
            fed: watch::Sender::new(false),
        }
    }
}

impl FleetDesk {
    /// Links to the other routers, once the fleet was joined.
    pub fn hub(&self) -> Option<&Arc<PeerHub>> {
        self.hub.get()
    }

    /// Sets the links, once.
    pub fn connect(&self, hub: Arc<PeerHub>) {
        // A second call would be of a second join, which keeps the first one's links.
        let _ = self.hub.set(hub);
    }

    /// Takes in the routers that are registered.
    pub fn set_routers(&self, routers: Vec<RouterEntry>) {
        if let Some(hub) = self.hub() {
            let directory: Vec<_> = routers
                .iter()
                .map(|entry| (entry.host.clone(), entry.address))
                .collect();
            hub.set_directory(&directory);
        }
        *self.routers.lock() = Some(routers);
    }

    /// Hosts of all routers that are registered.
    pub fn hosts(&self) -> Vec<HostName> {
        let routers = self.routers.lock();
        let entries = routers.iter().flatten();
        entries.map(|entry| entry.host.clone()).collect()
    }

    /// Whether the routers were listed.
    pub fn is_listed(&self) -> bool {
        self.routers.lock().is_some()
    }

    /// Number of routers that are registered.
    pub fn router_count(&self) -> usize {
        self.routers.lock().as_ref().map_or(0, Vec::len)
    }

    /// The router that this one asks: the first of its zone in a fixed order that did not fail
    /// lately; nothing when that is this one.
    ///
    /// Since everyone asks only routers before it, questions never go in a circle.
    pub fn feeder(&self, own: &HostName, zone: &ZoneName, now: MonotonicTime) -> Option<HostName> {
        let failed = self.failed.lock();
        let may_ask = |host: &HostName| {
            failed
                .get(host)
                .is_none_or(|at| now.since(*at) > FAILURE_TIME)
        };
        self.routers
            .lock()
            .iter()
            .flatten()
            .filter(|entry| entry.zone == *zone && rank(&entry.host) < rank(own))
            .filter(|entry| may_ask(&entry.host))
            .min_by_key(|entry| rank(&entry.host))
            .map(|entry| entry.host.clone())
    }

    /// Notes that `host` failed to answer.
    pub fn note_failure(&self, host: &HostName, now: MonotonicTime) {
        self.failed.lock().insert(host.clone(), now);
    }

    /// Whether another router tells this one what the store holds.
    pub fn is_fed(&self) -> bool {
        *self.fed.borrow()
    }

    /// Sets whether it does; returns whether that changed.
    pub fn set_fed(&self, fed: bool) -> bool {
        self.fed
            .send_if_modified(|held| std::mem::replace(held, fed) != fed)
    }

    /// Waits until this router has to read the store for itself.
    pub async fn unfed(&self) {
        // The sender lives as long as `self`, so that the wait cannot fail.
        let _ = self.fed.subscribe().wait_for(|fed| !fed).await;
    }
}

/// Place of a host in the order, the same at every router.
fn rank(host: &HostName) -> (u64, &HostName) {
    (xxh3_64(host.as_str().as_bytes()), host)
}
