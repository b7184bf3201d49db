//! What requests and responses of this router say about an upstream: load, latency, work, and pauses.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::choice::{ReportedLoad, UpstreamLoad};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{RemainingWork, SlownessFigure};
use ferry_platform::headers::LoadFacts;
use tokio::time::Instant;

/// Age at which a load that the upstream reported is no longer used.
const MAX_LOAD_AGE: Duration = Duration::from_secs(4);
/// Weight of the newest response in an upstream's latency ratio.
const LATENCY_WEIGHT: f64 = 0.25;
/// Highest latency ratio that is recorded; higher ones are cut to it.
const LATENCY_RATIO_LIMIT: f64 = 12.0;
/// Time constant with which a latency ratio decays to 1 while there are no new responses: after this
/// time, about a third (1/e) of its difference from 1 is left.
const LATENCY_DECAY_TIME: Duration = Duration::from_secs(4);
/// Step duration reported for an upstream of usual latency, in milliseconds. The choice compares
/// upstreams, so that only the ratio between them matters.
const USUAL_STEP_MS: f64 = 10.0;

/// State that requests and responses change.
#[derive(Debug, Default)]
pub(super) struct UpstreamActivity {
    /// Requests of this router in flight.
    pub(super) in_flight: u32,
    received: Option<ReceivedLoad>,
    latency: Option<UpstreamLatency>,
    pub(super) suspect_until: Option<MonotonicTime>,
    /// End of the backoff after its last rejection.
    pub(super) rejecting_until: Option<MonotonicTime>,
    /// End of the pause that the upstream asked for; absent if it never asked.
    pub(super) paused_until: Option<Instant>,
    /// Expected work of the requests of this router there, by the number of the run.
    work: HashMap<u64, OwnRun>,
    next_run: u64,
    /// Time of this router's runs as a multiple of the expected time.
    pub(super) slowness: SlownessFigure,
}

/// Expected work of one run.
#[derive(Debug, Clone, Copy)]
struct OwnRun {
    /// Absent while the class of the run is not known.
    work: Option<RemainingWork>,
    sent_at: MonotonicTime,
    /// Stream events that have passed.
    events: u32,
}

impl OwnRun {
    fn left(&self, now: MonotonicTime) -> Duration {
        let elapsed = now.since(self.sent_at);
        let work = self.work.as_ref();
        work.map_or(Duration::ZERO, |work| work.left(elapsed, self.events))
    }
}

/// A load that the upstream reported with a response.
#[derive(Debug, Clone, Copy)]
struct ReceivedLoad {
    at: MonotonicTime,
    facts: LoadFacts,
    /// Requests of this router in flight there when the report was received.
    in_flight_at_report: u32,
}

/// Moving average of the upstream's latency as a multiple of the usual one, which decays to 1.
#[derive(Debug, Clone, Copy)]
struct UpstreamLatency {
    ratio: f64,
    at: MonotonicTime,
}

impl UpstreamActivity {
    /// Whether it broke a connection or rejected a request a moment ago.
    pub(super) fn is_suspect(&self, now: MonotonicTime) -> bool {
        let ends = [self.suspect_until, self.rejecting_until];
        ends.into_iter().flatten().any(|until| now < until)
    }

    /// Records the load that the upstream reported at `now`.
    pub(super) fn record_load(&mut self, facts: LoadFacts, now: MonotonicTime) {
        self.received = Some(ReceivedLoad {
            at: now,
            facts,
            in_flight_at_report: self.in_flight,
        });
    }

    /// The load that the upstream reported last, and when.
    pub(super) fn reported_load(&self) -> Option<(LoadFacts, MonotonicTime)> {
        let received = self.received;
        received.map(|received| (received.facts, received.at))
    }

    /// Records at `now` a latency of `ratio` times the usual one.
    pub(super) fn record_latency(&mut self, ratio: f64, now: MonotonicTime) {
        let current = self.latency_ratio(now);
        let ratio = ratio.min(LATENCY_RATIO_LIMIT);
        self.latency = Some(UpstreamLatency {
            ratio: current + LATENCY_WEIGHT * (ratio - current),
            at: now,
        });
    }

    /// Counts a run with the expected `work` that is sent at `now`; returns its number.
    pub(super) fn begin_run(&mut self, work: Option<RemainingWork>, now: MonotonicTime) -> u64 {
        self.next_run += 1;
        let number = self.next_run;
        let run = OwnRun {
            work,
            sent_at: now,
            events: 0,
        };
        self.work.insert(number, run);
        number
    }

    /// Records an event of the run `number`.
    pub(super) fn record_event(&mut self, number: u64) {
        if let Some(run) = self.work.get_mut(&number) {
            run.events += 1;
        }
    }

    /// Records that the run `number` has ended.
    pub(super) fn end_run(&mut self, number: u64) {
        self.work.remove(&number);
    }

    /// Expected time that is left of all runs at `now`, summed.
    pub(super) fn work_left(&self, now: MonotonicTime) -> Duration {
        self.work.values().map(|run| run.left(now)).sum()
    }

    /// Latency ratio at `now`, decayed towards 1 since the last response.
    fn latency_ratio(&self, now: MonotonicTime) -> f64 {
        let Some(latency) = self.latency else {
            return 1.0;
        };
        let kept = (-now.since(latency.at).as_secs_f64() / LATENCY_DECAY_TIME.as_secs_f64()).exp();
        1.0 + (latency.ratio - 1.0) * kept
    }

    pub(super) fn load(&self, slots: u32, now: MonotonicTime) -> UpstreamLoad {
        let received = self
            .received
            .filter(|received| now.since(received.at) < MAX_LOAD_AGE);
        let report = ReportedLoad {
            running: received.map_or(0, |received| received.facts.running),
            queued: received.map_or(0, |received| received.facts.waiting),
            batch_limit: received.map_or(slots, |received| received.facts.slots),
            ..ReportedLoad::default()
        };
        UpstreamLoad {
            own_in_flight: self.in_flight,
            own_at_report: received.map_or(0, |received| received.in_flight_at_report),
            report: Some(report),
            observed_step_ms: Some(USUAL_STEP_MS * self.latency_ratio(now)),
            ..UpstreamLoad::default()
        }
    }
}
