//! What one policy achieved in one phase.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Time within which a refusal counts as sent at once.
const PROMPT_REFUSAL: Duration = Duration::from_millis(50);
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkOutcome {
    /// Answered before the deadline.
    Answered,
    /// Refused or failed; the caller was told.
    Refused,
    /// The deadline passed first.
    Late,
}

/// Counts and histograms; several seeds add up.
#[derive(Debug, Clone)]
pub(super) struct PhaseFigures {
    /// Requests that arrived.
    pub(super) offered: u64,
    /// Requests refused.
    pub(super) refused: u64,
    /// Requests refused within 50 ms.
    pub(super) refused_promptly: u64,
    /// Requests whose deadline passed.
    pub(super) late: u64,
    /// Engine steps of the answers in time.
    pub(super) work: u64,
    /// Attempts after the first.
    pub(super) retries: u64,
    /// Microseconds from arrival to the whole answer.
    pub(super) latency: Histogram<u64>,
}

impl Default for PhaseFigures {
    fn default() -> Self {
        Self {
            offered: 0,
            refused: 0,
            refused_promptly: 0,
            late: 0,
            work: 0,
            retries: 0,
            latency: Histogram::new(DIGITS).expect("three digits are within the library's range"),
        }
    }
}

impl PhaseFigures {
    /// Counts one request that ended `after` its arrival.
    pub(super) fn record(&mut self, outcome: WorkOutcome, after: Duration) {
        match outcome {
            WorkOutcome::Answered => self.record_latency(after),
            WorkOutcome::Late => self.late += 1,
            WorkOutcome::Refused => {
                self.refused += 1;
                self.refused_promptly += u64::from(after <= PROMPT_REFUSAL);
            }
        }
    }

    fn record_latency(&mut self, after: Duration) {
        let micros = after.as_micros() as u64;
        self.latency
            .record(micros)
            .expect("the histogram grows as needed");
    }

    /// Adds the figures of another run.
    pub(super) fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.refused += other.refused;
        self.refused_promptly += other.refused_promptly;
        self.late += other.late;
        self.work += other.work;
        self.retries += other.retries;
        self.latency
            .add(&other.latency)
            .expect("the histogram grows as needed");
    }

    /// Requests answered in time.
    pub(super) fn answered(&self) -> u64 {
        self.latency.len()
    }

    /// Milliseconds that the part `quantile` of the answers did not exceed.
    pub(super) fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
