//! One incarnation of an upstream, with its load, latency and idle connections at this router.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::choice::{UpstreamState, UpstreamView};
use ferry_decisions::names::HostName;
use ferry_decisions::registry::{UpstreamRecord, UpstreamStage};
use ferry_decisions::rollout::ListedVersion;
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{RemainingWork, SlownessFigure, WorkLoad};
use ferry_platform::headers::LoadFacts;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::unproven_ends::UnprovenEnds;
use super::upstream_activity::UpstreamActivity;
use super::{UnprovenEnd, UpstreamLink};
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::paths::{LastEndCheck, UpstreamPath};

/// Time for which an upstream that broke or refused a connection gets no new requests while others
/// can take them.
const SUSPECT_TIME: Duration = Duration::from_millis(1_000);
/// Time for which an upstream that rejected a request, without asking for a pause, gets no new requests while others can
/// take them.
const REJECTION_BACKOFF: Duration = Duration::from_millis(250);
/// Highest number of idle connections kept to one upstream.
const MAX_IDLE_LINKS: usize = 16;

/// An upstream, shared by the directory and the requests sent to it.
#[derive(Debug)]
pub struct RelayUpstream {
    /// Its entry when it was first listed; later stages are kept in `leaving`.
    pub record: UpstreamRecord,
    /// When it was first listed here, a value of [`ConfirmationTime::now`].
    listed_at: Duration,
    leaving: AtomicBool,
    pub(super) state: Mutex<UpstreamActivity>,
    pub(super) idle: Mutex<Vec<UpstreamLink>>,
    pub(super) path: Mutex<UpstreamPath>,
    /// Whether it is being checked whether it survived the break of a connection.
    is_checked: AtomicBool,
    last_end_check: LastEndCheck,
    unproven_ends: Mutex<UnprovenEnds>,
    /// Whether `unproven_ends` holds any; spares each piece of a stream the lock.
    has_unproven_ends: AtomicBool,
}

impl RelayUpstream {
    /// Creates the state of an upstream that was just listed.
    pub fn new(record: UpstreamRecord) -> Self {
        Self {
            leaving: AtomicBool::new(record.stage == UpstreamStage::Draining),
            record,
            listed_at: ConfirmationTime::now(),
            state: Mutex::default(),
            idle: Mutex::default(),
            path: Mutex::default(),
            is_checked: AtomicBool::new(false),
            last_end_check: LastEndCheck::default(),
            unproven_ends: Mutex::default(),
            has_unproven_ends: AtomicBool::new(false),
        }
    }

    /// Whether `record` is an entry of this upstream with the same incarnation, service, address and version.
    pub fn is_same(&self, record: &UpstreamRecord) -> bool {
        self.record.incarnation == record.incarnation
            && self.record.service == record.service
            && self.record.address == record.address
            && self.record.version == record.version
    }

    /// Its version, and how long ago it was listed at `now`, a value of [`ConfirmationTime::now`].
    pub fn listed_version(&self, now: Duration) -> ListedVersion<'_> {
        ListedVersion {
            version: &self.record.version,
            listed_age: now.saturating_sub(self.listed_at),
        }
    }

    /// Identifier of the upstream, to which each send is bound.
    pub fn id(&self) -> &str {
        self.record.incarnation.id.as_str()
    }

    /// Whether it gets no new requests, because it is leaving or gone.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Excludes it from new requests and closes its idle connections.
    pub fn mark_leaving(&self) {
        if !self.leaving.swap(true, Ordering::AcqRel) {
            self.idle.lock().clear();
        }
    }

    /// Records the stage of a newer entry.
    pub fn record_stage(&self, stage: UpstreamStage) {
        if stage == UpstreamStage::Draining {
            self.mark_leaving();
        }
    }

    /// Records that it broke or refused a connection at `now`, and closes its idle connections.
    pub fn mark_suspect(&self, now: MonotonicTime) {
        self.state.lock().suspect_until = Some(now.after(SUSPECT_TIME));
        self.idle.lock().clear();
    }

    /// Records that it rejected a request at `now` because it is full.
    pub fn record_rejection(&self, now: MonotonicTime) {
        self.state.lock().rejecting_until = Some(now.after(REJECTION_BACKOFF));
    }

    /// Whether it rejected a request a moment before `now` because it is full.
    pub fn is_full(&self, now: MonotonicTime) -> bool {
        let until = self.state.lock().rejecting_until;
        until.is_some_and(|until| now < until)
    }

    /// Records that it answered: it gets new requests again.
    pub fn clear_suspect(&self) {
        self.state.lock().suspect_until = None;
    }

    /// Excludes it from all requests for `pause`, as it has asked; an earlier pause that ends later stays.
    pub fn pause(&self, pause: Duration) {
        let until = Instant::now() + pause;
        let mut state = self.state.lock();
        state.paused_until = state.paused_until.max(Some(until));
    }

    /// Time left of the pause that it asked for; `None` if it may get requests.
    pub fn pause_left(&self) -> Option<Duration> {
        let until = self.state.lock().paused_until?;
        let left = until.checked_duration_since(Instant::now())?;
        (!left.is_zero()).then_some(left)
    }

    /// Records the load that it reported at `now`.
    pub fn record_load(&self, facts: LoadFacts, now: MonotonicTime) {
        self.state.lock().record_load(facts, now);
    }

    /// The load that it reported last, and when.
    pub fn reported_load(&self) -> Option<(LoadFacts, MonotonicTime)> {
        self.state.lock().reported_load()
    }

    /// Records at `now` a latency of `ratio` times the usual one.
    pub fn record_latency(&self, ratio: f64, now: MonotonicTime) {
        self.state.lock().record_latency(ratio, now);
    }

    /// State and load at `now`, as input to the choice of an upstream.
    pub fn view(&self, now: MonotonicTime) -> UpstreamView<'_> {
        let is_reached = self.path.lock().is_usable();
        let state = self.state.lock();
        let suspect = !is_reached || state.is_suspect(now);
        UpstreamView {
            name: &self.record.incarnation.id,
            zone: &self.record.zone,
            state: match (self.is_leaving(), suspect) {
                (true, _) => UpstreamState::Leaving,
                (false, true) => UpstreamState::Suspect,
                (false, false) => UpstreamState::Live,
            },
            load: state.load(self.record.slots, now),
        }
    }

    /// Number of requests of this router in flight there.
    pub fn in_flight(&self) -> u32 {
        self.state.lock().in_flight
    }

    /// Takes the most recently used idle connection that is still usable, and direct or through a router that `may_pass` accepts.
    pub fn take_idle(&self, may_pass: impl Fn(&HostName) -> bool) -> Option<UpstreamLink> {
        let mut idle = self.idle.lock();
        idle.retain(UpstreamLink::is_usable);
        let index = idle
            .iter()
            .rposition(|link| link.detour().is_none_or(&may_pass))?;
        Some(idle.remove(index))
    }

    /// Closes the idle connections that carry no further request.
    pub fn close_unusable(&self) {
        self.idle.lock().retain(UpstreamLink::is_usable);
    }

    /// Keeps an idle connection for the next request, or drops it when there are enough or the upstream
    /// is leaving.
    pub fn put_idle(&self, link: UpstreamLink) {
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_LINKS && !self.is_leaving() {
            idle.push(link);
        }
    }

    /// Begins a check of whether it survived the break of a connection; returns false if one is in progress.
    pub fn begin_check(&self) -> bool {
        !self.is_checked.swap(true, Ordering::AcqRel)
    }

    /// Ends that check.
    pub fn end_check(&self) {
        self.is_checked.store(false, Ordering::Release);
    }

    /// The last check whether its process lives.
    pub fn last_end_check(&self) -> &LastEndCheck {
        &self.last_end_check
    }

    /// Holds the end of an answer until it is known whether the upstream lived on.
    pub fn hold_end(&self, end: UnprovenEnd) {
        self.unproven_ends.lock().add(end);
        self.has_unproven_ends.store(true, Ordering::Release);
    }

    /// Takes the held ends that it survived, as it has just sent data on a connection opened at `opened_at`.
    pub fn take_survived_ends(&self, opened_at: Instant) -> Vec<UnprovenEnd> {
        if !self.has_unproven_ends.load(Ordering::Acquire) {
            return Vec::new();
        }
        let mut ends = self.unproven_ends.lock();
        let survived = ends.take_survived(opened_at, Instant::now());
        self.has_unproven_ends
            .store(!ends.is_empty(), Ordering::Release);
        survived
    }

    /// Takes the held ends of a process that another one has replaced.
    pub fn take_crashed_ends(&self) -> Vec<UnprovenEnd> {
        self.unproven_ends.lock().take_crashed(Instant::now())
    }

    /// Counts a run with the expected `work` that is sent at `now`; returns its number.
    pub fn begin_work(&self, work: Option<RemainingWork>, now: MonotonicTime) -> u64 {
        self.state.lock().begin_run(work, now)
    }

    /// Records an event of the run `number`.
    pub fn record_work_event(&self, number: u64) {
        self.state.lock().record_event(number);
    }

    /// Records that the run `number` has ended.
    pub fn end_work(&self, number: u64) {
        self.state.lock().end_run(number);
    }

    /// Expected time that is left at `now` of the requests of this router there on an upstream of usual speed, summed.
    pub fn own_work(&self, now: MonotonicTime) -> Duration {
        self.state.lock().work_left(now)
    }

    /// Records a run that took `ratio` times the expected time.
    pub fn record_slowness(&self, ratio: f64, now: MonotonicTime) {
        self.state.lock().slowness.record(ratio, now);
    }

    /// Time of this router's runs there as a multiple of the expected time.
    pub fn slowness(&self) -> SlownessFigure {
        self.state.lock().slowness
    }

    /// The load that it reported last, if that is no older than `age` at `now`.
    pub fn work_load(&self, age: Duration, now: MonotonicTime) -> Option<WorkLoad> {
        let (facts, at) = self.reported_load()?;
        let load = WorkLoad {
            running: facts.running,
            waiting: facts.waiting,
            slots: facts.slots,
            contention: facts.contention,
            age_ms: 0,
        };
        load.aged(at, now).filter(|_| now.since(at) <= age)
    }
}
