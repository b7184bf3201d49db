//! Load reports that lag behind the actual load.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ferry_platform::engine::LoadReport;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::faults::FaultGate;

/// Interval between two samples of the load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// Recent samples of the load, of which readers get the newest one that is at least `lag` old.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    /// Oldest first; [`LoadHistory::add`] drops samples that are too old to be reported again.
    samples: Mutex<VecDeque<(Instant, LoadReport)>>,
}

impl LoadHistory {
    /// Creates a history that reports `first` until another sample is old enough.
    pub(crate) fn new(lag: Duration, first: LoadReport) -> Self {
        Self {
            lag,
            samples: Mutex::new(VecDeque::from([(Instant::now(), first)])),
        }
    }

    /// Adds a sample and drops those that can no longer be reported.
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

    /// The newest sample that is at least `lag` old, or else the oldest sample.
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

/// Samples the load periodically until the future is dropped; pauses while the stand-in is frozen,
/// and skips samples while the fault `drop_load_reports` is active.
pub(crate) async fn sample_load(
    history: Arc<LoadHistory>,
    gate: Arc<FaultGate>,
    sample: impl Fn() -> LoadReport,
) {
    loop {
        tokio::time::sleep(SAMPLE_PERIOD).await;
        gate.wait_while_frozen().await;
        if !gate.order().drop_load_reports {
            history.add(sample());
        }
    }
}
