//! One upstream as this router knows it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::admission::QueueRank;
use ferry_decisions::choice::{
    InFlightHistory, RankMix, ReportedLoad, UpstreamLoad, UpstreamState, UpstreamView,
};
use ferry_platform::engine::LoadReport;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use parking_lot::Mutex;

use crate::membership::ProcessClock;

/// Time for which an upstream that broke a connection gets no new work while others can take it.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// An upstream, shared by the table and the requests that it runs.
#[derive(Debug)]
pub struct UpstreamHost {
    /// Entry of the host list; the state is kept in `leaving`.
    pub entry: HostEntry,
    /// Whether the upstream is leaving: once seen, it stays so.
    leaving: AtomicBool,
    state: Mutex<HostLoad>,
}

/// What changes with every request and report.
#[derive(Debug, Default)]
struct HostLoad {
    /// Requests of this router that it is running.
    flights: InFlightHistory,
    /// Last report with the time at which it was taken, since the start of the process.
    report: Option<(Duration, ReportedLoad)>,
    /// Time since the start of the process until which it is suspect.
    suspect_until: Duration,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct FlightGuard {
    host: Arc<UpstreamHost>,
    clock: ProcessClock,
    rank: QueueRank,
}

impl UpstreamHost {
    /// An upstream that was just listed.
    pub fn new(entry: HostEntry) -> Self {
        Self {
            leaving: AtomicBool::new(entry.state == HostState::Leaving),
            state: Mutex::default(),
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

    /// Notes at `now` that it broke a connection.
    pub fn mark_suspect(&self, now: Duration) {
        self.state.lock().suspect_until = now + SUSPECT_TIME;
    }

    /// Whether it broke a connection shortly before `now`.
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.state.lock().suspect_until
    }

    /// Whether it is a model engine.
    pub fn is_engine(&self) -> bool {
        self.entry.role == HostRole::Engine
    }

    /// Whether it has ever reported its load.
    pub fn has_reported(&self) -> bool {
        self.state.lock().report.is_some()
    }

    /// Keeps a load report that came at `now`.
    pub fn set_report(&self, now: Duration, report: LoadReport) {
        if report.leaving {
            self.mark_leaving();
        }
        let taken = now.saturating_sub(Duration::from_millis(report.age_ms));
        let load = ReportedLoad {
            running: report.running,
            queued: report.queued,
            batch_limit: report.batch_limit,
            queue_limit: report.queue_limit,
            step_ms: report.step_ms,
        };
        self.state.lock().report = Some((taken, load));
    }

    /// Load at `now`, as seen by a request of `rank`.
    pub fn load(&self, now: Duration, rank: Option<QueueRank>) -> UpstreamLoad {
        self.state.lock().load(now, rank)
    }

    /// What the choice of an upstream for a request of `rank` needs to know at `now`.
    pub fn view(&self, now: Duration, rank: QueueRank) -> UpstreamView<'_> {
        let state = self.state.lock();
        UpstreamView {
            name: &self.entry.name,
            zone: &self.entry.zone,
            state: match (self.is_leaving(), now < state.suspect_until) {
                (true, _) => UpstreamState::Leaving,
                (false, true) => UpstreamState::Suspect,
                (false, false) => UpstreamState::Live,
            },
            load: state.load(now, Some(rank)),
        }
    }

    /// Address for calls, `http://IP:PORT`.
    pub fn url(&self) -> String {
        format!("http://{}", self.entry.address)
    }
}

impl HostLoad {
    fn load(&self, now: Duration, rank: Option<QueueRank>) -> UpstreamLoad {
        let taken = self.report.map_or(now, |(taken, _)| taken);
        UpstreamLoad {
            own_in_flight: self.flights.current(),
            own_at_report: self.flights.at(taken),
            peers_in_flight: 0,
            peers_at_report: 0,
            mix: rank.map_or(RankMix::default(), |rank| {
                self.flights.mix_relative_to(rank)
            }),
            report: self.report.map(|(_, report)| report),
            observed_step_ms: None,
        }
    }
}

impl FlightGuard {
    /// Counts a request of `rank` on `host`.
    pub fn new(host: &Arc<UpstreamHost>, clock: ProcessClock, rank: QueueRank) -> Self {
        host.state.lock().flights.begin(clock.elapsed(), rank);
        let host = Arc::clone(host);
        Self { host, clock, rank }
    }

    /// The upstream.
    pub fn host(&self) -> &Arc<UpstreamHost> {
        &self.host
    }

    /// Rank of the request at the upstream.
    pub fn rank(&self) -> QueueRank {
        self.rank
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let now = self.clock.elapsed();
        self.host.state.lock().flights.end(now, self.rank);
    }
}
