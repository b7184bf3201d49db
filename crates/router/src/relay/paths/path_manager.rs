//! Signals between the requests that lose a path and the tasks that find another one.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_decisions::names::{HostName, ServiceName};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// State of the search for detours.
#[derive(Debug)]
pub struct PathManager {
    /// Signal that a path was lost that requests need.
    lost: Notify,
    /// Signal that probes are due at another time than before.
    changed: Notify,
    /// Number of finished searches for detours.
    searches: watch::Sender<u64>,
    /// Number of upstreams that were reached through other routers after the last search.
    detours: AtomicUsize,
    /// Number of tunnels that other routers have open through this one.
    tunnels: AtomicUsize,
    /// Routers whose last tunnel failed, which are asked again last.
    failed: Mutex<HashSet<HostName>>,
}

impl Default for PathManager {
    fn default() -> Self {
        Self {
            lost: Notify::new(),
            changed: Notify::new(),
            searches: watch::Sender::new(0),
            detours: AtomicUsize::new(0),
            tunnels: AtomicUsize::new(0),
            failed: Mutex::default(),
        }
    }
}

/// Counts one tunnel as open until it is dropped.
#[derive(Debug)]
pub struct TunnelGuard<'a> {
    tunnels: &'a AtomicUsize,
}

impl PathManager {
    /// Signals that a path was lost that requests need.
    pub fn report_loss(&self) {
        self.lost.notify_one();
        self.changed.notify_one();
    }

    /// Waits for such a loss, at most for `limit` if there is one.
    pub async fn wait_for_loss(&self, limit: Option<Duration>) {
        wait(&self.lost, limit).await;
    }

    /// Signals that other probes may be due.
    pub fn wake_probes(&self) {
        self.changed.notify_one();
    }

    /// Waits until other probes may be due, at most for `limit` if there is one.
    pub async fn wait_for_probes(&self, limit: Option<Duration>) {
        wait(&self.changed, limit).await;
    }

    /// Records that `detours` upstreams are reached through other routers; returns whether they are more than at the last call.
    pub fn record_detours(&self, detours: usize) -> bool {
        self.detours.swap(detours, Ordering::AcqRel) < detours
    }

    /// Records that a search for detours has ended.
    pub fn finish_search(&self) {
        self.searches.send_modify(|count| *count += 1);
    }

    /// Waits until a search for detours that begins now has ended, at most for `limit`.
    pub async fn wait_for_search(&self, limit: Duration) {
        let mut searches = self.searches.subscribe();
        // Cannot fail, because `self` keeps the sender; a timeout ends the wait.
        let _ = timeout(limit, searches.changed()).await;
    }

    /// Records whether the last tunnel through `router` could be opened.
    pub fn record_tunnel(&self, router: &HostName, opened: bool) {
        let mut failed = self.failed.lock();
        match opened {
            true => failed.remove(router),
            false => failed.insert(router.clone()),
        };
    }

    /// Whether the last tunnel through `router` failed.
    pub fn has_failed(&self, router: &HostName) -> bool {
        self.failed.lock().contains(router)
    }

    /// Counts a tunnel of another router as open; `None` if `limit` tunnels are.
    pub fn begin_tunnel(&self, limit: usize) -> Option<TunnelGuard<'_>> {
        let open = self.tunnels.fetch_add(1, Ordering::AcqRel);
        let guard = TunnelGuard {
            tunnels: &self.tunnels,
        };
        (open < limit).then_some(guard)
    }

    /// Number of tunnels that other routers have open through this one.
    pub fn tunnels(&self) -> usize {
        self.tunnels.load(Ordering::Acquire)
    }
}

impl Drop for TunnelGuard<'_> {
    fn drop(&mut self) {
        self.tunnels.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Waits for a signal, at most for `limit` if there is one.
async fn wait(signal: &Notify, limit: Option<Duration>) {
    match limit {
        // A timeout is the end of the wait, like a signal.
        Some(limit) => drop(timeout(limit, signal.notified()).await),
        None => signal.notified().await,
    }
}

/// Logs that the path to an upstream of `service` was lost or works again.
pub fn log_path(service: &ServiceName, upstream: &str, state: &'static str) {
    metrics::counter!("ferry_relay_paths_total", "service" => service.to_string(), "state" => state)
        .increment(1);
    spdlog::info!("path to an upstream", kv: { upstream = upstream, state = state });
}
