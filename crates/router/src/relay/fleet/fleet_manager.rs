//! Registered routers, and which of them this router syncs from.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use ferry_decisions::names::{HostName, ZoneName};
use ferry_decisions::time::MonotonicTime;
use ferry_platform::host_settings::HostSettings;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::FeedSource;
use crate::peer::PeerHub;

/// Time for which a router that failed to answer is not chosen as sync source.
const FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// Entry that a router registers in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// Name of the router's host.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the port for other routers.
    pub address: SocketAddr,
    /// Speed of the host's link, in Mbit/s; 0 when it is not known.
    #[serde(default)]
    pub link_mbps: u32,
}

/// Registered routers, links to them, and the feed.
pub struct FleetManager {
    /// Content of the store for the routers that sync from this one.
    pub feed: FeedSource,
    hub: OnceLock<Arc<PeerHub>>,
    /// Registered routers; absent until they were first listed.
    routers: Mutex<Option<Vec<RouterEntry>>>,
    /// Whether they were listed at least once.
    is_listed: watch::Sender<bool>,
    /// Whether they were listed after routers that started together with this one had time to register.
    has_full_list: AtomicBool,
    /// Time of the last failure of each router that failed to answer.
    failed: Mutex<HashMap<HostName, MonotonicTime>>,
    /// Whether this router gets the store's content from another router.
    synced_from_peer: watch::Sender<bool>,
}

impl Default for FleetManager {
    fn default() -> Self {
        Self {
            feed: FeedSource::default(),
            hub: OnceLock::new(),
            routers: Mutex::default(),
            is_listed: watch::Sender::new(false),
            has_full_list: AtomicBool::new(false),
            failed: Mutex::default(),
            synced_from_peer: watch::Sender::new(false),
        }
    }
}

impl FleetManager {
    /// Links to the other routers; `None` until this one joined the fleet.
    pub fn hub(&self) -> Option<&Arc<PeerHub>> {
        self.hub.get()
    }

    /// Sets the links; only the first call has an effect.
    pub fn connect(&self, hub: Arc<PeerHub>) {
        // Ignores a second call: it comes from a repeated join, which reuses the first links.
        let _ = self.hub.set(hub);
    }

    /// Replaces the list of registered routers.
    pub fn set_routers(&self, routers: Vec<RouterEntry>) {
        if let Some(hub) = self.hub() {
            let directory: Vec<_> = routers
                .iter()
                .map(|entry| (entry.host.clone(), entry.address))
                .collect();
            hub.set_directory(&directory);
        }
        let before = self.router_count();
        if routers.len() != before {
            spdlog::info!("number of registered routers changed", kv: { routers = routers.len(), before = before });
        }
        *self.routers.lock() = Some(routers);
        self.is_listed.send_replace(true);
    }

    /// Waits until the routers were listed at least once.
    pub async fn wait_until_listed(&self) {
        // Cannot fail, because `self` keeps the sender.
        let _ = self.is_listed.subscribe().wait_for(|listed| *listed).await;
    }

    /// Records that the list has the routers that started together with this one.
    pub fn confirm_list(&self) {
        self.has_full_list.store(true, Ordering::Release);
    }

    /// Number of routers by which a limit of the fleet can be divided; `None` until the list has those that started
    /// together with this one.
    pub fn confirmed_count(&self) -> Option<usize> {
        let is_confirmed = self.has_full_list.load(Ordering::Acquire);
        is_confirmed.then(|| self.router_count())
    }

    /// Hosts of all registered routers.
    pub fn hosts(&self) -> Vec<HostName> {
        let routers = self.routers.lock();
        let entries = routers.iter().flatten();
        entries.map(|entry| entry.host.clone()).collect()
    }

    /// Entries of all registered routers but `own`.
    pub fn others(&self, own: &HostName) -> Vec<RouterEntry> {
        let routers = self.routers.lock();
        let entries = routers.iter().flatten();
        entries
            .filter(|entry| entry.host != *own)
            .cloned()
            .collect()
    }

    /// Whether the routers were listed at least once.
    pub fn is_listed(&self) -> bool {
        *self.is_listed.borrow()
    }

    /// Number of registered routers; 0 until they were listed.
    pub fn router_count(&self) -> usize {
        self.routers.lock().as_ref().map_or(0, Vec::len)
    }

    /// Router from which this one syncs: the first of its zone in a fixed order that did not fail
    /// recently; `None` when that is this one. Faster links come first, since a source sends most.
    ///
    /// Each router syncs only from routers before it in the order, so that there are no cycles.
    pub fn sync_source(&self, own: &HostSettings, now: MonotonicTime) -> Option<HostName> {
        let own_rank = rank(&own.host, own.link_mbps);
        let routers = self.routers.lock();
        let earlier = routers.iter().flatten();
        let earlier = earlier.filter(|entry| entry.zone == own.zone && entry.rank() < own_rank);
        earlier
            .filter(|entry| self.is_usable(&entry.host, now))
            .min_by_key(|entry| entry.rank())
            .map(|entry| entry.host.clone())
    }

    /// Router to sync from while this one cannot read the store itself: the first of the other zones that did not fail recently, and after
    /// those one of its own zone.
    pub fn substitute_source(&self, own: &HostSettings, now: MonotonicTime) -> Option<HostName> {
        let routers = self.routers.lock();
        let others = routers.iter().flatten();
        let others = others.filter(|entry| entry.host != own.host);
        others
            .filter(|entry| self.is_usable(&entry.host, now))
            .min_by_key(|entry| (entry.zone == own.zone, entry.rank()))
            .map(|entry| entry.host.clone())
    }

    /// Whether `host` did not fail to answer recently.
    fn is_usable(&self, host: &HostName, now: MonotonicTime) -> bool {
        let failed = self.failed.lock();
        let failed_at = failed.get(host);
        failed_at.is_none_or(|at| now.since(*at) > FAILURE_BACKOFF)
    }

    /// Records that `host` failed to answer.
    pub fn record_failure(&self, host: &HostName, now: MonotonicTime) {
        self.failed.lock().insert(host.clone(), now);
    }

    /// Whether this router gets the store's content from another router instead of the store.
    pub fn is_synced_from_peer(&self) -> bool {
        *self.synced_from_peer.borrow()
    }

    /// Sets whether this router syncs from another one; returns whether that changed.
    pub fn set_synced_from_peer(&self, synced: bool) -> bool {
        self.synced_from_peer
            .send_if_modified(|current| std::mem::replace(current, synced) != synced)
    }

    /// Waits until this router has to read the store itself.
    pub async fn wait_until_unsynced(&self) {
        // Cannot fail, because `self` keeps the sender.
        let _ = self
            .synced_from_peer
            .subscribe()
            .wait_for(|synced| !synced)
            .await;
    }
}

impl RouterEntry {
    fn rank(&self) -> RouterRank<'_> {
        rank(&self.host, self.link_mbps)
    }
}

/// Sort key of a router in the fixed order.
type RouterRank<'a> = (Reverse<u32>, u64, &'a HostName);

/// Sort key of a router, which is the same at every router.
fn rank(host: &HostName, link_mbps: u32) -> RouterRank<'_> {
    let hash = xxh3_64(host.as_str().as_bytes());
    (Reverse(link_mbps), hash, host)
}
