//! Observation of one run at an upstream: its expected work while it goes on, and its time when it has ended.

use std::fmt;
use std::sync::Arc;

use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{
    RemainingWork, RequestSize, RunObservation, WorkChoice, WorkEstimate,
};
use parking_lot::Mutex;

use super::load_metrics;
use crate::relay::ClassSeries;
use crate::relay::relay_core::SharedCore;
use crate::relay::upstreams::RelayUpstream;

/// What is known of a run before it is sent.
#[derive(Debug, Clone)]
pub struct RunFacts {
    /// Rule of the request.
    pub rule: String,
    /// Class by which the expected time is learned.
    pub class: String,
    /// Size of the request.
    pub size: RequestSize,
    /// Whether the upstream produces the rest of an answer only, whose size says nothing of that of the whole.
    pub is_resumed: bool,
    /// Metrics of the request's rule and group of workspaces.
    pub class_series: Option<Arc<ClassSeries>>,
}

/// Counts the expected work of a run at its upstream until it is dropped, and records then what was observed.
pub struct RunWatch {
    core: SharedCore,
    upstream: Arc<RelayUpstream>,
    facts: RunFacts,
    /// Number of the run at the upstream.
    number: u64,
    sent_at: MonotonicTime,
    expected: Option<WorkEstimate>,
    /// Slowness of the upstream when the run began.
    slowness: f64,
    /// Time per event at the number of requests that were there then, as a multiple of that of an idle upstream.
    batch_factor: f64,
    state: Mutex<RunProgress>,
}

/// What was observed so far.
#[derive(Debug, Clone, Copy, Default)]
struct RunProgress {
    head_at: Option<MonotonicTime>,
    events: u32,
    /// When the last event, or the end of an answer without events, came.
    last_at: Option<MonotonicTime>,
    is_complete: bool,
}

impl RunWatch {
    /// A run that is sent to `upstream` now; `None` if the configuration lists no models of its service.
    pub fn begin(
        core: &SharedCore,
        upstream: &Arc<RelayUpstream>,
        facts: RunFacts,
    ) -> Option<Self> {
        let rules = core.rules.load();
        let service = rules.as_ref()?.service(&upstream.record.service)?;
        if service.models.is_empty() {
            return None;
        }
        let now = core.clock.now();
        let slowness = core.load.slowness(upstream, now);
        let requests = core.load.requests(upstream, now);
        let slots = upstream.record.slots;
        let batch_factor = WorkChoice::default().batch_factor(requests.saturating_add(1), slots);
        let (expected, pace) = core.load.with_model(&service.name, |model| {
            let expected = model.estimate(&facts.class, &facts.size);
            (expected, model.pace(&facts.class))
        });
        let work = expected.map(|estimate| RemainingWork {
            estimate,
            pace,
            slowness,
        });
        Some(Self {
            core: Arc::clone(core),
            upstream: Arc::clone(upstream),
            number: upstream.begin_work(work, now),
            facts,
            sent_at: now,
            expected,
            slowness,
            batch_factor,
            state: Mutex::default(),
        })
    }

    /// Records the head of a successful answer.
    pub fn record_head(&self) {
        self.state.lock().head_at = Some(self.core.clock.now());
    }

    /// Records an event of the answer.
    pub fn record_event(&self) {
        let mut state = self.state.lock();
        state.events += 1;
        state.last_at = Some(self.core.clock.now());
        drop(state);
        self.upstream.record_work_event(self.number);
    }

    /// Records that the answer has come to its end.
    pub fn record_end(&self) {
        let mut state = self.state.lock();
        state.is_complete = true;
        state.last_at.get_or_insert(self.core.clock.now());
    }

    fn record_observation(&self, now: MonotonicTime) {
        let state = *self.state.lock();
        let Some(head_at) = state.head_at else {
            return;
        };
        let run = RunObservation {
            size: self.facts.size,
            head: head_at.since(self.sent_at),
            events: state.events,
            body: state.last_at.unwrap_or(head_at).since(head_at),
            is_complete: state.is_complete && !self.facts.is_resumed,
        };
        let class = &self.facts.class;
        let usual = self.core.load.slowness(&self.upstream, now) * self.batch_factor;
        let service = &self.upstream.record.service;
        let ratio = self.core.load.with_model(service, |model| {
            // Read before the run is recorded, so that it is not compared with itself.
            let ratio = model.slowness(class, &run);
            model.record(class, &run, usual, now);
            ratio
        });
        if let Some(ratio) = ratio.filter(|_| run.events > 0) {
            self.upstream
                .record_slowness(ratio / self.batch_factor, now);
        }
        if let Some(expected) = self.expected.filter(|_| run.is_complete) {
            let expected = expected.head + expected.body;
            let stages = &self.core.start_stages;
            stages.record_run(service, run.head + run.body, expected, now);
            let expected = expected.mul_f64(self.slowness);
            load_metrics::record_run(&self.facts.rule, run.head + run.body, expected);
            if let Some(series) = &self.facts.class_series {
                series.record_run(expected, run.head + run.body);
            }
        }
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        self.upstream.end_work(self.number);
        self.record_observation(self.core.clock.now());
    }
}

impl fmt::Debug for RunWatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RunWatch")
            .field("facts", &self.facts)
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}
