//! One upstream as this router knows it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use ferry_platform::engine::LoadReport;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use parking_lot::Mutex;
use tokio::time::Instant;

/// An upstream, shared by the table and the requests that it runs.
#[derive(Debug)]
pub struct UpstreamHost {
    /// Entry of the host list; the state is kept in `leaving`.
    pub entry: HostEntry,
    /// Whether the upstream is leaving: once seen, it stays so.
    leaving: AtomicBool,
    in_flight: AtomicU32,
    report: Mutex<Option<(LoadReport, Instant)>>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct FlightGuard {
    host: Arc<UpstreamHost>,
}

impl UpstreamHost {
    /// An upstream that was just listed.
    pub fn new(entry: HostEntry) -> Self {
        Self {
            leaving: AtomicBool::new(entry.state == HostState::Leaving),
            in_flight: AtomicU32::new(0),
            report: Mutex::new(None),
            entry,
        }
    }

    /// Whether it gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Notes that it is leaving.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether it is a model engine.
    pub fn is_engine(&self) -> bool {
        self.entry.role == HostRole::Engine
    }

    /// Requests of this router that it is running.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Last load report with the time at which it was received.
    pub fn report(&self) -> Option<(LoadReport, Instant)> {
        *self.report.lock()
    }

    /// Keeps a load report.
    pub fn set_report(&self, report: LoadReport) {
        if report.leaving {
            self.mark_leaving();
        }
        *self.report.lock() = Some((report, Instant::now()));
    }

    /// Address for calls, `http://IP:PORT`.
    pub fn url(&self) -> String {
        format!("http://{}", self.entry.address)
    }
}

impl FlightGuard {
    /// Counts a request on `host`.
    pub fn new(host: &Arc<UpstreamHost>) -> Self {
        host.in_flight.fetch_add(1, Ordering::Relaxed);
        let host = Arc::clone(host);
        Self { host }
    }

    /// The upstream.
    pub fn host(&self) -> &Arc<UpstreamHost> {
        &self.host
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.host.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
