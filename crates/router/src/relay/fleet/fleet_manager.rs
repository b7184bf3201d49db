//! Registered routers, and which of them this router syncs from.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::sync::{RouterEntry, SourceList, SyncOrder, SyncOutcome, SyncPlanner};
use ferry_decisions::time::MonotonicTime;
use ferry_platform::host_settings::HostSettings;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::FeedSource;
use super::router_directory::RouterDirectory;
use crate::peer::PeerHub;

/// Number of periods without a read of the upstreams' entries after which this router counts as cut off from them.
const MAX_MISSED_READS: u32 = 3;

/// Where this router gets the store's content from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SyncState {
    /// Whether this router reads the store.
    pub is_reader: bool,
    /// Whether another router has given it recent content.
    pub is_synced: bool,
}

impl SyncState {
    /// Whether this router reads the store, and gets its content from there.
    pub fn is_own_reader(self) -> bool {
        self.is_reader && !self.is_synced
    }

    /// Whether neither this router's reads nor another router give it recent content.
    pub fn is_lacking(self) -> bool {
        !self.is_reader && !self.is_synced
    }
}

/// Registered routers, links to them, and the feed.
pub struct FleetManager {
    /// Content of the store for the routers that sync from this one.
    pub feed: FeedSource,
    host: HostName,
    hub: OnceLock<Arc<PeerHub>>,
    directory: Mutex<RouterDirectory>,
    planner: Mutex<SyncPlanner>,
    state: watch::Sender<SyncState>,
    /// Whether the routers were listed at least once, or this router goes on without a list.
    is_listed: watch::Sender<bool>,
    /// Whether this router joined the fleet, so that it can ask the others.
    has_joined: watch::Sender<bool>,
    /// Whether they were listed after routers that started together with this one had time to register.
    has_full_list: AtomicBool,
    /// Router that read the content of the last recent answer from the store; absent if that is not known.
    origin: Mutex<Option<HostName>>,
    /// When the upstreams' entries were last read here from the store.
    upstreams_read_at: Mutex<Option<MonotonicTime>>,
}

impl FleetManager {
    /// The manager of a router that starts at `now`.
    pub fn new(settings: &HostSettings, now: MonotonicTime) -> Self {
        let own = own_entry(settings, settings.callers);
        Self {
            feed: FeedSource::default(),
            hub: OnceLock::new(),
            directory: Mutex::default(),
            planner: Mutex::new(SyncPlanner::new(own, now)),
            state: watch::Sender::default(),
            is_listed: watch::Sender::new(false),
            has_joined: watch::Sender::new(false),
            has_full_list: AtomicBool::new(false),
            origin: Mutex::default(),
            upstreams_read_at: Mutex::default(),
            host: settings.host.clone(),
        }
    }

    /// Links to the other routers; `None` until this one joined the fleet.
    pub fn hub(&self) -> Option<&Arc<PeerHub>> {
        self.hub.get()
    }

    /// Sets the links; only the first call has an effect.
    pub fn connect(&self, hub: Arc<PeerHub>) {
        set_directory(&hub, &self.order());
        // Ignores a second call: it comes from a repeated join, which reuses the first links.
        let _ = self.hub.set(hub);
        self.has_joined.send_replace(true);
    }

    /// Waits until this router has listed the others and has links to them.
    pub async fn wait_until_joined(&self) {
        // Cannot fail, because `self` keeps the sender.
        let _ = self.has_joined.subscribe().wait_for(|joined| *joined).await;
    }

    /// Adds or replaces entries of registered routers.
    pub fn add_routers(&self, entries: Vec<RouterEntry>) {
        let mut directory = self.directory.lock();
        let before = directory.order().len();
        if !directory.merge(entries) {
            return;
        }
        let order = Arc::clone(directory.order());
        drop(directory);
        if let Some(hub) = self.hub() {
            set_directory(hub, &order);
        }
        if order.len() != before {
            spdlog::info!("number of registered routers changed", kv: { routers = order.len(), before = before });
        }
    }

    /// Records that the routers were listed, or that this router goes on without a list.
    pub fn record_list(&self, now: MonotonicTime) {
        self.is_listed.send_replace(true);
        self.publish_state(now);
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

    /// Registered routers in the order of sync sources.
    pub fn order(&self) -> Arc<SyncOrder> {
        Arc::clone(self.directory.lock().order())
    }

    /// Entries of routers that changed after `revision`, and the present revision.
    pub fn router_changes(&self, revision: u64) -> (Vec<RouterEntry>, u64) {
        let directory = self.directory.lock();
        (directory.changes_since(revision), directory.revision())
    }

    /// Hosts of all registered routers.
    pub fn hosts(&self) -> Vec<HostName> {
        let order = self.order();
        let entries = order.routers().iter();
        entries.map(|entry| entry.host.clone()).collect()
    }

    /// Entries of all registered routers but `own`.
    pub fn others(&self, own: &HostName) -> Vec<RouterEntry> {
        let order = self.order();
        let entries = order.routers().iter();
        entries
            .filter(|entry| entry.host != *own)
            .cloned()
            .collect()
    }

    /// Number of registered routers; 0 until they were listed.
    pub fn router_count(&self) -> usize {
        self.directory.lock().order().len()
    }

    /// Routers to ask next for the store's content; empty while this router reads the store and need not ask any.
    pub fn next_sources(&self, now: MonotonicTime) -> SourceList {
        let order = self.order();
        let sources = self.planner.lock().sources(&order, now);
        self.publish_state(now);
        sources
    }

    /// Whether another router, which is asked first, has given recent content, so that `host` is no source any more.
    pub fn is_superseded(&self, host: &HostName, now: MonotonicTime) -> bool {
        let order = self.order();
        self.planner.lock().is_superseded(host, &order, now)
    }

    /// Records how a query to `host` ended.
    pub fn record_sync(&self, host: &HostName, outcome: SyncOutcome, now: MonotonicTime) {
        self.planner.lock().record(host, outcome, now);
        self.publish_state(now);
    }

    /// Records that no router can be asked.
    pub fn record_lack(&self, now: MonotonicTime) {
        self.planner.lock().record_lack(now);
        self.publish_state(now);
    }

    /// When this router, which is no reader, is to read the store once; `None` while it need not.
    pub fn next_probe(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let order = self.order();
        self.planner.lock().next_probe(&order, now)
    }

    /// Records an attempt to read the store that [`Self::next_probe`] called for.
    pub fn record_probe(&self, now: MonotonicTime) {
        self.planner.lock().record_probe(now);
    }

    /// Records that such an attempt succeeded, so that this router reads the store for a time.
    pub fn begin_reading(&self, now: MonotonicTime) {
        self.planner.lock().record_read(now);
        self.publish_state(now);
    }

    /// Records that the operator's records were read from the store. The upstreams' entries, which are read once in `period`, must have been
    /// read as well for this router to count as in contact with the store.
    pub fn record_operator_read(&self, period: Duration, now: MonotonicTime) {
        let read_at = *self.upstreams_read_at.lock();
        if read_at.is_some_and(|at| now.since(at) < period * MAX_MISSED_READS) {
            self.begin_reading(now);
        }
    }

    /// Records that the upstreams' entries were read from the store.
    pub fn record_upstream_read(&self, now: MonotonicTime) {
        *self.upstreams_read_at.lock() = Some(now);
    }

    /// The router that gave this one recent content.
    pub fn sync_source(&self) -> Option<HostName> {
        self.planner.lock().proven().cloned()
    }

    /// Records which router read the content of a recent answer from the store, if that is known.
    pub fn record_origin(&self, origin: Option<HostName>) {
        *self.origin.lock() = origin;
    }

    /// Router that read this one's content from the store.
    pub fn origin(&self) -> Option<HostName> {
        match self.is_synced_from_peer() {
            true => self.origin.lock().clone(),
            false => Some(self.host.clone()),
        }
    }

    /// Where this router gets the store's content from.
    pub fn sync_state(&self) -> SyncState {
        *self.state.borrow()
    }

    /// Whether this router gets the store's content from another router instead of the store.
    pub fn is_synced_from_peer(&self) -> bool {
        self.sync_state().is_synced
    }

    /// Waits until `condition` holds of where this router gets the store's content from.
    pub async fn wait_until(&self, condition: impl FnMut(&SyncState) -> bool) {
        // Cannot fail, because `self` keeps the sender.
        let _ = self.state.subscribe().wait_for(condition).await;
    }

    /// Waits until this router reads the store.
    pub async fn wait_until_reader(&self) {
        self.wait_until(|state| state.is_reader).await;
    }

    /// Waits until no other router gives this one recent content.
    pub async fn wait_until_unsynced(&self) {
        self.wait_until(|state| !state.is_synced).await;
    }

    fn publish_state(&self, now: MonotonicTime) {
        let order = self.order();
        let planner = self.planner.lock();
        let state = SyncState {
            // Before the routers are listed, there is nobody else to be asked.
            is_reader: *self.is_listed.borrow() && planner.is_reader(&order, now),
            is_synced: planner.proven().is_some(),
        };
        drop(planner);
        let changed = self.state.send_if_modified(|current| {
            let is_other = *current != state;
            *current = state;
            is_other
        });
        if changed {
            spdlog::info!("source of the store's content", kv: {
                reads = state.is_reader,
                router = self.sync_source().map_or_else(String::new, |host| host.to_string()),
            });
        }
    }
}

/// Entry of this router, whose port for other routers is `address`.
pub fn own_entry(settings: &HostSettings, address: SocketAddr) -> RouterEntry {
    RouterEntry {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address,
        link_mbps: settings.link_mbps,
    }
}

fn set_directory(hub: &PeerHub, order: &SyncOrder) {
    let entries = order.routers().iter();
    let directory: Vec<_> = entries
        .map(|entry| (entry.host.clone(), entry.address))
        .collect();
    hub.set_directory(&directory);
}
