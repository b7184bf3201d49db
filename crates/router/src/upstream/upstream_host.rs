//! State of one upstream as known to this router.

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

/// Time for which an upstream gets no new requests after a failed or broken connection or a malformed
/// answer, unless no other is available.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// An upstream, shared between the table and the requests in flight on it.
#[derive(Debug)]
pub struct UpstreamHost {
    /// Entry of the host list as first read; its `state` is superseded by `leaving`.
    pub entry: HostEntry,
    /// Whether the upstream is leaving; never reset.
    leaving: AtomicBool,
    state: Mutex<HostLoad>,
}

/// State that changes with every request and load report.
#[derive(Debug, Default)]
struct HostLoad {
    /// Requests of this router in flight on the upstream, with recent history.
    in_flight: InFlightHistory,
    /// Last load report and the time at which it was taken, measured from the start of this process.
    report: Option<(Duration, ReportedLoad)>,
    /// Time until which the upstream is suspect, measured from the start of this process.
    suspect_until: Duration,
}

/// Counts one request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    host: Arc<UpstreamHost>,
    clock: ProcessClock,
    rank: QueueRank,
}

impl UpstreamHost {
    /// Creates the state of an upstream that is new in the host list.
    pub fn new(entry: HostEntry) -> Self {
        Self {
            leaving: AtomicBool::new(entry.state == HostState::Leaving),
            state: Mutex::default(),
            entry,
        }
    }

    /// Whether the upstream is leaving and gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Records that the upstream is leaving.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Records at `now` that a connection to the upstream failed or broke, or that its answer was
    /// malformed.
    pub fn mark_suspect(&self, now: Duration) {
        self.state.lock().suspect_until = now + SUSPECT_TIME;
    }

    /// Whether the upstream is suspect at `now`, because it was marked as such within the suspect time
    /// before.
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.state.lock().suspect_until
    }

    /// Whether the upstream is a model engine.
    pub fn is_engine(&self) -> bool {
        self.entry.role == HostRole::Engine
    }

    /// Whether a load report was received.
    pub fn has_reported(&self) -> bool {
        self.state.lock().report.is_some()
    }

    /// Stores a load report received at `now`.
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

    /// Load at `now`; with a `rank`, the requests in flight are also counted by rank relative to it.
    pub fn load(&self, now: Duration, rank: Option<QueueRank>) -> UpstreamLoad {
        self.state.lock().load(now, rank)
    }

    /// State at `now` for the choice of an upstream for a request of `rank`.
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

    /// Base URL of the upstream, `http://IP:PORT`.
    pub fn url(&self) -> String {
        format!("http://{}", self.entry.address)
    }
}

impl HostLoad {
    fn load(&self, now: Duration, rank: Option<QueueRank>) -> UpstreamLoad {
        let taken = self.report.map_or(now, |(taken, _)| taken);
        UpstreamLoad {
            own_in_flight: self.in_flight.current(),
            own_at_report: self.in_flight.at(taken),
            peers_in_flight: 0,
            peers_at_report: 0,
            mix: rank.map_or(RankMix::default(), |rank| {
                self.in_flight.mix_relative_to(rank)
            }),
            report: self.report.map(|(_, report)| report),
            observed_step_ms: None,
        }
    }
}

impl InFlightGuard {
    /// Counts a request of `rank` as in flight on `host`.
    pub fn new(host: &Arc<UpstreamHost>, clock: ProcessClock, rank: QueueRank) -> Self {
        host.state.lock().in_flight.begin(clock.elapsed(), rank);
        let host = Arc::clone(host);
        Self { host, clock, rank }
    }

    /// Upstream that the request is sent to.
    pub fn host(&self) -> &Arc<UpstreamHost> {
        &self.host
    }

    /// Rank of the request in the queue of the upstream.
    pub fn rank(&self) -> QueueRank {
        self.rank
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.clock.elapsed();
        self.host.state.lock().in_flight.end(now, self.rank);
    }
}
