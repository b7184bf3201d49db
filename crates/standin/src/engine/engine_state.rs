//! State of an engine: its batch, its table of runs and its load history.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_platform::engine::LoadReport;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::EngineOptions;
use super::batch_queue::{BatchQueue, QueueFull, StepOutcome};
use super::chat_run::{ChatRun, RunPhase};
use super::load_history::{LoadHistory, sample_load};
use super::run_table::RunTable;
use crate::counters::{RunCounters, RunEvent};
use crate::faults::FaultGate;

/// Interval between two sweeps of the run table.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// State shared by the calls and the background tasks of one engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) gate: Arc<FaultGate>,
    pub(super) load_history: Arc<LoadHistory>,
    batch: Mutex<BatchQueue>,
    table: Mutex<RunTable>,
    counters: RunCounters,
    /// Notifies the step loop of new work.
    wake: Notify,
    leaving: AtomicBool,
    stop: CancellationToken,
}

impl EngineState {
    /// Creates the state and starts its background tasks.
    pub(crate) fn start(options: EngineOptions, gate: Arc<FaultGate>) -> Arc<Self> {
        let batch = BatchQueue::new(
            options.batch_limit,
            options.queue_limit,
            options.prefill_tokens,
            options.cache_blocks,
        );
        let first = LoadReport {
            batch_limit: options.batch_limit as u32,
            queue_limit: options.queue_limit as u32,
            step_ms: options.step.as_secs_f64() * 1_000.0,
            ..LoadReport::default()
        };
        let state = Arc::new(Self {
            load_history: Arc::new(LoadHistory::new(options.load_lag, first)),
            options,
            gate,
            batch: Mutex::new(batch),
            table: Mutex::default(),
            counters: RunCounters::default(),
            wake: Notify::new(),
            leaving: AtomicBool::new(false),
            stop: CancellationToken::new(),
        });
        state.clone().spawn_tasks();
        state
    }

    /// Counts of the engine's runs.
    pub(crate) fn counters(&self) -> &RunCounters {
        &self.counters
    }

    /// Makes the engine refuse new work from now on.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether new work is refused.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed) || self.gate.order().leaving
    }

    /// Discards all runs and the prefix cache, as a crash does.
    pub(crate) fn crash(&self) {
        let mut batch = self.batch.lock();
        self.table.lock().clear();
        for run in batch.clear() {
            if run.phase() == RunPhase::Running {
                self.counters.add(&run.id, RunEvent::Crashed);
            }
            run.set_phase(RunPhase::Crashed);
        }
    }

    /// Stops the background tasks.
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Queues a run.
    pub(super) fn submit(&self, run: &Arc<ChatRun>) -> Result<(), QueueFull> {
        self.batch.lock().submit(run.clone())?;
        self.table.lock().insert(run.clone());
        self.wake.notify_one();
        Ok(())
    }

    /// The newest run with this request id, while it is still in the run table.
    pub(super) fn find(&self, id: &str) -> Option<Arc<ChatRun>> {
        self.table.lock().get(id)
    }

    /// Queues a suspended run again; does nothing for a run in any other phase.
    pub(super) fn resume(&self, run: &Arc<ChatRun>) -> Result<(), QueueFull> {
        let mut batch = self.batch.lock();
        if run.phase() != RunPhase::Suspended {
            return Ok(());
        }
        batch.submit(run.clone())?;
        run.set_phase(RunPhase::Waiting);
        drop(batch);
        self.counters.add(&run.id, RunEvent::Resumed);
        self.wake.notify_one();
        Ok(())
    }

    /// Suspends a run without readers, which can be resumed later.
    pub(super) fn suspend(&self, run: &Arc<ChatRun>) {
        self.interrupt(run, RunPhase::Suspended);
    }

    /// Cancels a run, which can then no longer be resumed.
    pub(super) fn cancel(&self, run: &Arc<ChatRun>) {
        self.interrupt(run, RunPhase::Cancelled);
    }

    fn interrupt(&self, run: &Arc<ChatRun>, phase: RunPhase) {
        let mut batch = self.batch.lock();
        match run.phase() {
            RunPhase::Waiting | RunPhase::Running => {
                batch.remove(run);
                run.set_phase(phase);
                drop(batch);
                self.counters.add(&run.id, RunEvent::Cancelled);
            }
            RunPhase::Suspended => run.set_phase(phase),
            RunPhase::Finished | RunPhase::Cancelled | RunPhase::Crashed => {}
        }
    }

    fn spawn_tasks(self: Arc<Self>) {
        let sampled = self.clone();
        let sampling = sample_load(self.load_history.clone(), self.gate.clone(), move || {
            sampled.sample()
        });
        let sweeping = self.clone().sweep_loop();
        let stepping = self.clone().step_loop();
        let stop = &self.stop;
        tokio::spawn(stop.clone().run_until_cancelled_owned(sampling));
        tokio::spawn(stop.clone().run_until_cancelled_owned(sweeping));
        tokio::spawn(stop.clone().run_until_cancelled_owned(stepping));
    }

    async fn step_loop(self: Arc<Self>) {
        let mut next = Instant::now();
        loop {
            while self.batch.lock().is_idle() {
                self.wake.notified().await;
            }
            next = Instant::now().max(next + self.step_time());
            tokio::time::sleep_until(next).await;
            self.gate.wait_while_frozen().await;
            let outcome = self.batch.lock().step();
            self.record_outcome(&outcome);
        }
    }

    async fn sweep_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_PERIOD).await;
            self.table.lock().sweep();
        }
    }

    fn record_outcome(&self, outcome: &StepOutcome) {
        self.counters.add_cached_tokens(outcome.cached_tokens);
        for run in &outcome.started {
            self.counters
                .add(&run.id, RunEvent::Started(Some(&run.version)));
        }
        for run in &outcome.finished {
            self.counters.add(&run.id, RunEvent::Finished);
        }
        if let Some(crash) = outcome.poison.as_ref().and_then(|run| run.poison.clone()) {
            self.crash();
            self.gate.report_crash(crash);
        }
    }

    fn step_time(&self) -> Duration {
        let factor = self.gate.order().step_factor.unwrap_or(1.0);
        self.options.step.mul_f64(factor)
    }

    fn stated_step_ms(&self) -> f64 {
        let real = self.step_time().as_secs_f64() * 1_000.0;
        self.gate.order().stated_step_ms.unwrap_or(real)
    }

    fn sample(&self) -> LoadReport {
        let batch = self.batch.lock();
        LoadReport {
            running: batch.running() as u32,
            queued: batch.queued() as u32,
            batch_limit: self.options.batch_limit as u32,
            queue_limit: self.options.queue_limit as u32,
            step_ms: self.stated_step_ms(),
            leaving: self.is_leaving(),
            age_ms: 0,
        }
    }
}
