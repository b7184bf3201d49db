//! Simulated engine: continuous batching, a bounded queue ordered by rank, and delayed load
//! reports.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_decisions::admission::QueueRank;
use ferry_decisions::choice::ReportedLoad;

use super::EnginePool;

/// One attempt of a request on the engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineJob {
    /// Index of the request.
    pub(super) request: usize,
    /// Number of the attempt, from 1.
    pub(super) attempt: u32,
    /// Rank in the queue.
    pub(super) rank: QueueRank,
    /// Steps until the answer is complete.
    pub(super) steps_left: u32,
}

/// State of one simulated engine.
#[derive(Debug)]
pub(super) struct VirtualEngine {
    pool: EnginePool,
    running: Vec<EngineJob>,
    queue: VecDeque<EngineJob>,
    /// Factor on the step duration.
    slowdown: f64,
    alive: bool,
    /// Number of crashes so far; steps of an earlier incarnation are ignored.
    incarnation: u32,
    stepping: bool,
    last_step: Duration,
    reports: VecDeque<(Duration, ReportedLoad)>,
}

impl VirtualEngine {
    /// Creates an idle engine.
    pub(super) fn new(pool: &EnginePool) -> Self {
        Self {
            pool: pool.clone(),
            running: Vec::new(),
            queue: VecDeque::new(),
            slowdown: 1.0,
            alive: true,
            incarnation: 0,
            stepping: false,
            last_step: Duration::from_secs_f64(pool.step_ms / 1_000.0),
            reports: VecDeque::new(),
        }
    }

    /// Whether the engine accepts connections.
    pub(super) fn is_alive(&self) -> bool {
        self.alive
    }

    /// Number of the current incarnation, which grows by one with each crash.
    pub(super) fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Duration of the step that started last; `step_ms` of the pool before the first step.
    pub(super) fn last_step(&self) -> Duration {
        self.last_step
    }

    /// Inserts `job` into the queue by rank; returns false when the queue is full.
    pub(super) fn enqueue(&mut self, job: EngineJob) -> bool {
        if self.queue.len() >= self.pool.queue as usize {
            return false;
        }
        let after = self.queue.iter().position(|q| q.rank < job.rank);
        self.queue.insert(after.unwrap_or(self.queue.len()), job);
        true
    }

    /// Removes the job of a request whose caller stopped waiting.
    pub(super) fn cancel(&mut self, request: usize) {
        self.running.retain(|job| job.request != request);
        self.queue.retain(|job| job.request != request);
    }

    /// Starts the next step and returns its duration; `None` when a step is in progress, or the
    /// engine has crashed or has no jobs.
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
        let ms = self.pool.step_with(self.running.len() as u32) * self.slowdown;
        self.stepping = true;
        self.last_step = Duration::from_secs_f64(ms / 1_000.0);
        Some(self.last_step)
    }

    /// Ends the current step; returns the jobs whose answers are complete.
    pub(super) fn end_step(&mut self) -> Vec<EngineJob> {
        self.stepping = false;
        for job in &mut self.running {
            job.steps_left -= 1;
        }
        self.running
            .extract_if(.., |job| job.steps_left == 0)
            .collect()
    }

    /// Sets the factor on the step duration; 1 is normal speed.
    pub(super) fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Crashes the engine; returns the jobs that are lost.
    pub(super) fn crash(&mut self) -> Vec<EngineJob> {
        self.alive = false;
        self.stepping = false;
        self.incarnation += 1;
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }

    /// Restarts the engine, without jobs.
    pub(super) fn restart(&mut self) {
        self.alive = true;
    }

    /// Records a load report, which becomes visible after the report lag.
    pub(super) fn record_report(&mut self, now: Duration) {
        let report = ReportedLoad {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            batch_limit: self.pool.batch,
            queue_limit: self.pool.queue,
            step_ms: self.last_step.as_secs_f64() * 1_000.0,
        };
        self.reports.push_back((now, report));
    }

    /// Latest report that is at least as old as the report lag, with the time at which it was
    /// taken.
    pub(super) fn visible_report(&mut self, now: Duration) -> Option<(Duration, ReportedLoad)> {
        let lag = Duration::from_millis(self.pool.report_lag_ms);
        let old_enough = |report: &(Duration, ReportedLoad)| report.0 + lag <= now;
        while self.reports.get(1).is_some_and(old_enough) {
            self.reports.pop_front();
        }
        self.reports.front().copied().filter(old_enough)
    }
}
