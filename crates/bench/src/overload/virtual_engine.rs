//! Fake engine: a continuous batch, a bounded queue by rank, reports that lag.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_decisions::admission::QueueRank;
use ferry_decisions::choice::ReportedLoad;

use super::EnginePool;

/// One attempt of a request on the engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineJob {
    /// Request of the attempt.
    pub(super) item: usize,
    /// Number of the attempt.
    pub(super) attempt: u32,
    /// Rank in the queue.
    pub(super) rank: QueueRank,
    /// Steps until the answer is whole.
    pub(super) steps_left: u32,
}

/// One engine.
#[derive(Debug)]
pub(super) struct VirtualEngine {
    pool: EnginePool,
    running: Vec<EngineJob>,
    queue: VecDeque<EngineJob>,
    /// Factor on the step duration.
    slowness: f64,
    alive: bool,
    /// Number of deaths; steps of an earlier life are stale.
    life: u32,
    stepping: bool,
    last_step: Duration,
    reports: VecDeque<(Duration, ReportedLoad)>,
}

impl VirtualEngine {
    /// An idle engine.
    pub(super) fn new(pool: &EnginePool) -> Self {
        Self {
            pool: pool.clone(),
            running: Vec::new(),
            queue: VecDeque::new(),
            slowness: 1.0,
            alive: true,
            life: 0,
            stepping: false,
            last_step: Duration::from_secs_f64(pool.step_ms / 1_000.0),
            reports: VecDeque::new(),
        }
    }

    /// Whether it accepts connections.
    pub(super) fn is_alive(&self) -> bool {
        self.alive
    }

    /// Number of its life.
    pub(super) fn life(&self) -> u32 {
        self.life
    }

    /// Duration of the last step.
    pub(super) fn last_step(&self) -> Duration {
        self.last_step
    }

    /// Takes a job into the queue; false when the queue is full.
    pub(super) fn accept(&mut self, job: EngineJob) -> bool {
        if self.queue.len() >= self.pool.queue as usize {
            return false;
        }
        let after = self.queue.iter().position(|q| q.rank < job.rank);
        self.queue.insert(after.unwrap_or(self.queue.len()), job);
        true
    }

    /// Drops a job whose caller gave up.
    pub(super) fn cancel(&mut self, item: usize) {
        self.running.retain(|job| job.item != item);
        self.queue.retain(|job| job.item != item);
    }

    /// Starts the next step unless one is under way; returns its duration.
    pub(super) fn start_step(&mut self) -> Option<Duration> {
        if self.stepping || !self.alive {
            return None;
        }
        while self.running.len() < self.pool.batch as usize {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let ms = self.pool.step_with(self.running.len() as u32) * self.slowness;
        self.stepping = true;
        self.last_step = Duration::from_secs_f64(ms / 1_000.0);
        Some(self.last_step)
    }

    /// Ends the step; returns the jobs that are whole.
    pub(super) fn end_step(&mut self) -> Vec<EngineJob> {
        self.stepping = false;
        for job in &mut self.running {
            job.steps_left -= 1;
        }
        self.running
            .extract_if(.., |job| job.steps_left == 0)
            .collect()
    }

    /// Makes steps `factor` times as long.
    pub(super) fn set_slowness(&mut self, factor: f64) {
        self.slowness = factor;
    }

    /// Dies; returns the jobs that are lost.
    pub(super) fn die(&mut self) -> Vec<EngineJob> {
        self.alive = false;
        self.stepping = false;
        self.life += 1;
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }

    /// Comes back empty.
    pub(super) fn revive(&mut self) {
        self.alive = true;
    }

    /// Takes a report to be shown later.
    pub(super) fn sample(&mut self, now: Duration) {
        let report = ReportedLoad {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            batch_limit: self.pool.batch,
            queue_limit: self.pool.queue,
            step_ms: self.last_step.as_secs_f64() * 1_000.0,
        };
        self.reports.push_back((now, report));
    }

    /// The newest report that is old enough to be shown, with the time at which it was taken.
    pub(super) fn shown_report(&mut self, now: Duration) -> Option<(Duration, ReportedLoad)> {
        let lag = Duration::from_millis(self.pool.report_lag_ms);
        let old_enough = |report: &(Duration, ReportedLoad)| report.0 + lag <= now;
        while self.reports.get(1).is_some_and(old_enough) {
            self.reports.pop_front();
        }
        self.reports.front().copied().filter(old_enough)
    }
}
