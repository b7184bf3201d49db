//! One life of one upstream as this router knows it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::choice::{ReportedLoad, UpstreamLoad, UpstreamState, UpstreamView};
use ferry_decisions::roster::{UpstreamRecord, UpstreamStage};
use ferry_decisions::time::MonotonicTime;
use ferry_platform::headers::LoadFacts;
use parking_lot::Mutex;

use super::UpstreamLink;

/// Time for which an upstream that broke a connection gets no new work while others can take it.
const SUSPECT_TIME: Duration = Duration::from_millis(1_000);
/// Time for which a load that was told is used.
const LOAD_LIFE: Duration = Duration::from_secs(4);
/// Weight of the newest answer in an upstream's pace.
const PACE_WEIGHT: f64 = 0.25;
/// Highest multiple of the usual time that counts.
const PACE_LIMIT: f64 = 12.0;
/// Time in which an upstream's pace fades to a third while nothing is heard of it.
const PACE_FADE: Duration = Duration::from_secs(4);
/// Step duration of an upstream with the usual pace, in milliseconds; only its multiple matters.
const USUAL_STEP_MS: f64 = 10.0;
/// Most idle connections kept to one upstream.
const IDLE_LINKS: usize = 16;

/// An upstream, shared by the directory and the requests that it runs.
#[derive(Debug)]
pub struct RelayUpstream {
    /// Its entry when it appeared; the stage is kept apart.
    pub record: UpstreamRecord,
    leaving: AtomicBool,
    state: Mutex<UpstreamUse>,
    idle: Mutex<Vec<UpstreamLink>>,
}

/// What changes with every request.
#[derive(Debug, Default)]
struct UpstreamUse {
    /// Requests of this router in flight.
    in_flight: u32,
    told: Option<ToldLoad>,
    pace: Option<OwnPace>,
    suspect_until: Option<MonotonicTime>,
}

/// A load that the upstream told.
#[derive(Debug, Clone, Copy)]
struct ToldLoad {
    at: MonotonicTime,
    facts: LoadFacts,
    /// Requests of this router that were in flight there then.
    own: u32,
}

/// Time of its answers as a multiple of the usual one, as a mean that fades.
#[derive(Debug, Clone, Copy)]
struct OwnPace {
    ratio: f64,
    at: MonotonicTime,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct FlightTicket {
    upstream: Arc<RelayUpstream>,
}

impl RelayUpstream {
    /// An upstream that was just listed.
    pub fn new(record: UpstreamRecord) -> Self {
        Self {
            leaving: AtomicBool::new(record.stage == UpstreamStage::Draining),
            record,
            state: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Whether `record` is of the same life, of the same service and at the same place.
    pub fn is_same(&self, record: &UpstreamRecord) -> bool {
        self.record.life == record.life
            && self.record.service == record.service
            && self.record.address == record.address
            && self.record.version == record.version
    }

    /// Identifier that requests are bound to.
    pub fn id(&self) -> &str {
        self.record.life.id.as_str()
    }

    /// Whether it gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Notes that it gets no new work any more, and closes its idle connections.
    pub fn mark_leaving(&self) {
        if !self.leaving.swap(true, Ordering::AcqRel) {
            self.idle.lock().clear();
        }
    }

    /// Takes in the stage of a newer entry.
    pub fn note_stage(&self, stage: UpstreamStage) {
        if stage == UpstreamStage::Draining {
            self.mark_leaving();
        }
    }

    /// Notes at `now` that it broke or refused a connection; the idle ones are closed.
    pub fn mark_suspect(&self, now: MonotonicTime) {
        self.state.lock().suspect_until = Some(now.after(SUSPECT_TIME));
        self.idle.lock().clear();
    }

    /// Notes that it answered.
    pub fn clear_suspicion(&self) {
        self.state.lock().suspect_until = None;
    }

    /// Keeps the load that it told at `now`.
    pub fn note_load(&self, facts: LoadFacts, now: MonotonicTime) {
        let mut state = self.state.lock();
        state.told = Some(ToldLoad {
            at: now,
            facts,
            own: state.in_flight,
        });
    }

    /// Takes in at `now` that an answer took `ratio` times the usual time.
    pub fn note_pace(&self, ratio: f64, now: MonotonicTime) {
        let mut state = self.state.lock();
        let held = state.pace_ratio(now);
        let ratio = ratio.min(PACE_LIMIT);
        state.pace = Some(OwnPace {
            ratio: held + PACE_WEIGHT * (ratio - held),
            at: now,
        });
    }

    /// What the choice needs to know of it at `now`.
    pub fn view(&self, now: MonotonicTime) -> UpstreamView<'_> {
        let state = self.state.lock();
        let suspect = state.suspect_until.is_some_and(|until| now < until);
        UpstreamView {
            name: &self.record.life.id,
            zone: &self.record.zone,
            state: match (self.is_leaving(), suspect) {
                (true, _) => UpstreamState::Leaving,
                (false, true) => UpstreamState::Suspect,
                (false, false) => UpstreamState::Live,
            },
            load: state.load(self.record.slots, now),
        }
    }

    /// Requests of this router in flight there.
    pub fn in_flight(&self) -> u32 {
        self.state.lock().in_flight
    }

    /// An idle connection that its upstream still keeps, the most recently used one first.
    pub fn take_idle(&self) -> Option<UpstreamLink> {
        let mut idle = self.idle.lock();
        while let Some(link) = idle.pop() {
            if link.is_usable() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn put_idle(&self, link: UpstreamLink) {
        let mut idle = self.idle.lock();
        if idle.len() < IDLE_LINKS && !self.is_leaving() {
            idle.push(link);
        }
    }

    /// Counts a request as in flight.
    pub fn begin(self: &Arc<Self>) -> FlightTicket {
        self.state.lock().in_flight += 1;
        FlightTicket {
            upstream: Arc::clone(self),
        }
    }
}

impl UpstreamUse {
    /// The multiple at `now`; it fades to 1 while nothing is heard.
    fn pace_ratio(&self, now: MonotonicTime) -> f64 {
        let Some(pace) = self.pace else {
            return 1.0;
        };
        let kept = (-now.since(pace.at).as_secs_f64() / PACE_FADE.as_secs_f64()).exp();
        1.0 + (pace.ratio - 1.0) * kept
    }

    fn load(&self, slots: u32, now: MonotonicTime) -> UpstreamLoad {
        let told = self.told.filter(|told| now.since(told.at) < LOAD_LIFE);
        let report = ReportedLoad {
            running: told.map_or(0, |told| told.facts.running),
            queued: told.map_or(0, |told| told.facts.waiting),
            batch_limit: told.map_or(slots, |told| told.facts.slots),
            ..ReportedLoad::default()
        };
        UpstreamLoad {
            own_in_flight: self.in_flight,
            own_at_report: told.map_or(0, |told| told.own),
            report: Some(report),
            observed_step_ms: Some(USUAL_STEP_MS * self.pace_ratio(now)),
            ..UpstreamLoad::default()
        }
    }
}

impl Drop for FlightTicket {
    fn drop(&mut self) {
        self.upstream.state.lock().in_flight -= 1;
    }
}
