//! What one router reports about one upstream.

use std::time::Duration;

use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Time after which a slowness figure without new samples is no longer used.
pub const SLOWNESS_LIFETIME: Duration = Duration::from_secs(30);
/// Time constant with which the samples of a slowness figure decay: engines are slowed down for 0.6 s at a time, which the reported contention covers,
/// while their own speed doesn't change. Fifteen seconds average over many of these episodes.
const SAMPLE_DECAY_TIME: Duration = Duration::from_secs(15);
/// Bounds of a slowness; a figure beyond them is an error in the observation and not a slow upstream. Engines of 0.6 to 1.6 times the usual time,
/// machines that are contended 2.5 times and full batches make 0.3 to 6.
pub(super) const SLOWNESS_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Decayed number of samples below which a figure is no longer used.
const MIN_SAMPLES: f64 = 0.05;
/// Highest number of samples of one figure.
const MAX_SAMPLES: f64 = 1_000.0;
/// Highest number of requests of one row.
const MAX_REQUESTS: u32 = 100_000;
/// Longest remaining work of one request, in milliseconds.
const MAX_REQUEST_MS: u32 = 600_000;
/// Highest count of a stated load.
const MAX_LOAD_COUNT: u32 = 1_000_000;
/// Bounds of the contention that upstreams state, in percent.
pub const CONTENTION_BOUNDS: (u32, u32) = (10, 10_000);
/// Age from which a stated load is dropped, in milliseconds.
const MAX_LOAD_AGE_MS: u32 = 4_000;

/// Load that an answer of an upstream stated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkLoad {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// How long work took on its machine, in percent of the usual time; absent if the answer didn't state it.
    pub contention: Option<u32>,
    /// Milliseconds since the answer.
    pub age_ms: u32,
}

/// Outstanding work of one router, or of several, at one upstream, and the slowness and load that they observed there.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamWorkRow {
    /// Upstream.
    pub upstream: UpstreamIncarnation,
    /// Expected time that is left of the requests there, summed, in milliseconds.
    pub work_ms: u32,
    /// Number of these requests.
    pub requests: u32,
    /// Observed time of runs as a multiple of the expected time.
    pub slowness: f64,
    /// Decayed number of runs from which the slowness is; 0 if it is not known.
    pub samples: f64,
    /// Newest load that an answer stated.
    pub load: Option<WorkLoad>,
}

impl UpstreamWorkRow {
    /// The row with each figure within its bounds, so that a wrong row can't distort a sum for long.
    pub fn bounded(mut self) -> Self {
        self.requests = self.requests.min(MAX_REQUESTS);
        let most_ms = self.requests.saturating_mul(MAX_REQUEST_MS);
        self.work_ms = self.work_ms.min(most_ms);
        let is_known = self.slowness.is_finite() && self.samples.is_finite();
        if !is_known || self.slowness <= 0.0 || self.samples <= 0.0 {
            (self.slowness, self.samples) = (1.0, 0.0);
        }
        self.slowness = self.slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.samples = self.samples.min(MAX_SAMPLES);
        self.load = self.load.and_then(WorkLoad::bounded);
        self
    }
}

impl WorkLoad {
    /// The load with its figures within their bounds; `None` if it is too old.
    fn bounded(self) -> Option<Self> {
        let (low, high) = CONTENTION_BOUNDS;
        (self.age_ms < MAX_LOAD_AGE_MS).then(|| Self {
            running: self.running.min(MAX_LOAD_COUNT),
            waiting: self.waiting.min(MAX_LOAD_COUNT),
            slots: self.slots.min(MAX_LOAD_COUNT),
            contention: self.contention.map(|percent| percent.clamp(low, high)),
            age_ms: self.age_ms,
        })
    }

    /// When the load was stated, if its age is as of `now`.
    pub fn stated_at(&self, now: MonotonicTime) -> MonotonicTime {
        now.before(Duration::from_millis(self.age_ms.into()))
    }

    /// The load, stated at `stated_at`, with its age at `now`; `None` if it is too old.
    pub fn aged(self, stated_at: MonotonicTime, now: MonotonicTime) -> Option<Self> {
        let age = now.since(stated_at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        Self { age_ms, ..self }.bounded()
    }
}

/// Mean slowness of an upstream over samples that decay with their age.
///
/// The mean is that of the logarithms, so that half and twice the usual time cancel out.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlownessFigure {
    /// Sum of the logarithms of the samples, at `decayed_to`.
    sum: f64,
    samples: f64,
    decayed_to: MonotonicTime,
    /// When the newest sample was added.
    sampled_at: MonotonicTime,
}

impl SlownessFigure {
    /// A figure from `samples` runs, as stated at `now`.
    pub fn new(slowness: f64, samples: f64, now: MonotonicTime) -> Self {
        Self {
            sum: slowness.ln() * samples,
            samples,
            decayed_to: now,
            sampled_at: now,
        }
    }

    /// Adds the slowness of one run; one that is no positive number is ignored.
    pub fn record(&mut self, slowness: f64, now: MonotonicTime) {
        if slowness.is_finite() && slowness > 0.0 {
            let slowness = slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
            self.add(&Self::new(slowness, 1.0, now), now);
        }
    }

    /// Adds the samples of `other`.
    pub fn add(&mut self, other: &Self, now: MonotonicTime) {
        let (kept, added) = (self.kept(now), other.kept(now));
        self.sum = self.sum * kept + other.sum * added;
        self.samples = (self.samples * kept + other.samples * added).min(MAX_SAMPLES * 100.0);
        self.decayed_to = self.decayed_to.max(now);
        self.sampled_at = self.sampled_at.max(other.sampled_at);
    }

    /// Removes the samples of `other`, which were added before.
    pub fn subtract(&mut self, other: &Self, now: MonotonicTime) {
        let (kept, removed) = (self.kept(now), other.kept(now));
        self.sum = self.sum * kept - other.sum * removed;
        self.samples = (self.samples * kept - other.samples * removed).max(0.0);
        self.decayed_to = self.decayed_to.max(now);
    }

    /// Mean slowness; 1 if it is not known.
    pub fn mean(&self) -> f64 {
        // Fewer samples may be what is left of a difference between rounded sums.
        match self.samples >= MIN_SAMPLES {
            true => (self.sum / self.samples).exp(),
            false => 1.0,
        }
    }

    /// Number of samples at `now`.
    pub fn samples(&self, now: MonotonicTime) -> f64 {
        self.samples * self.kept(now)
    }

    /// When the newest sample was added.
    pub fn sampled_at(&self) -> MonotonicTime {
        self.sampled_at
    }

    /// Whether the figure has samples that are used at `now`.
    pub fn is_known(&self, now: MonotonicTime) -> bool {
        self.samples(now) >= MIN_SAMPLES && now.since(self.sampled_at) < SLOWNESS_LIFETIME
    }

    /// Part of the samples that is left at `now`.
    fn kept(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.decayed_to).as_secs_f64();
        (-age / SAMPLE_DECAY_TIME.as_secs_f64()).exp()
    }
}
