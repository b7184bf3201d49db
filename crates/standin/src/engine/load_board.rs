//! Load reports that lag behind the load.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ferry_platform::engine::LoadReport;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::faults::FaultGate;

/// Time between two samples of the load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// Samples of the load, of which readers see one that is `lag` old.
#[derive(Debug)]
pub(crate) struct LoadBoard {
    lag: Duration,
    /// The oldest first; the first one is that which readers see.
    samples: Mutex<VecDeque<(Instant, LoadReport)>>,
}

impl LoadBoard {
    /// A board that shows `first` until other samples are old enough.
    pub(crate) fn new(lag: Duration, first: LoadReport) -> Self {
        Self {
            lag,
            samples: Mutex::new(VecDeque::from([(Instant::now(), first)])),
        }
    }

    /// Adds a sample and drops those that no reader will see any more.
    pub(crate) fn add(&self, report: LoadReport) {
        let now = Instant::now();
        let mut samples = self.samples.lock();
        samples.push_back((now, report));
        while samples
            .get(1)
            .is_some_and(|(time, _)| *time + self.lag <= now)
        {
            samples.pop_front();
        }
    }

    /// The newest sample that is at least as old as the lag, or the oldest one.
    pub(crate) fn report(&self) -> LoadReport {
        let now = Instant::now();
        let samples = self.samples.lock();
        let old_enough = |sample: &&(Instant, LoadReport)| sample.0 + self.lag <= now;
        let Some((time, report)) = samples.iter().rev().find(old_enough).or(samples.front()) else {
            return LoadReport::default();
        };
        LoadReport {
            age_ms: (now - *time).as_millis() as u64,
            ..*report
        }
    }
}

/// Samples the load until the task is dropped, except while a fault drops the reports.
pub(crate) async fn keep_board(
    board: Arc<LoadBoard>,
    gate: Arc<FaultGate>,
    sample: impl Fn() -> LoadReport,
) {
    loop {
        tokio::time::sleep(SAMPLE_PERIOD).await;
        gate.thawed().await;
        if !gate.order().drop_load_reports {
            board.add(sample());
        }
    }
}
