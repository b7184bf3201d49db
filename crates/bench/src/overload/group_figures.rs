//! Counts and latencies of the requests of one group, such as a phase or a class.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Maximum time from arrival to a refusal that counts as prompt.
const PROMPT_REFUSAL: Duration = Duration::from_millis(50);
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// Answered before the deadline.
    Answered,
    /// Refused, or failed on its last attempt; the caller was notified before the deadline.
    Refused,
    /// The deadline passed before an answer or a refusal.
    Late,
}

/// Counts and latency histogram; the figures of several seeds can be added.
#[derive(Debug, Clone)]
pub(super) struct GroupFigures {
    /// Requests that arrived.
    pub(super) offered: u64,
    /// Requests refused.
    pub(super) refused: u64,
    /// Requests refused within [`PROMPT_REFUSAL`].
    pub(super) refused_promptly: u64,
    /// Requests whose deadline passed before an answer.
    pub(super) late: u64,
    /// Engine steps spent on requests that were answered in time.
    pub(super) useful_steps: u64,
    /// Attempts after the first one of each request.
    pub(super) retries: u64,
    /// Time from arrival to the complete answer, in microseconds.
    pub(super) latency: Histogram<u64>,
}

impl Default for GroupFigures {
    fn default() -> Self {
        Self {
            offered: 0,
            refused: 0,
            refused_promptly: 0,
            late: 0,
            useful_steps: 0,
            retries: 0,
            latency: Histogram::new(DIGITS).expect("three digits are within the library's range"),
        }
    }
}

impl GroupFigures {
    /// Counts one request that ended `elapsed` after its arrival.
    pub(super) fn record(&mut self, outcome: RequestOutcome, elapsed: Duration) {
        match outcome {
            RequestOutcome::Answered => self.record_latency(elapsed),
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::Refused => {
                self.refused += 1;
                self.refused_promptly += u64::from(elapsed <= PROMPT_REFUSAL);
            }
        }
    }

    fn record_latency(&mut self, elapsed: Duration) {
        let micros = elapsed.as_micros() as u64;
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
        self.useful_steps += other.useful_steps;
        self.retries += other.retries;
        self.latency
            .add(&other.latency)
            .expect("the histogram grows as needed");
    }

    /// Requests answered in time.
    pub(super) fn answered(&self) -> u64 {
        self.latency.len()
    }

    /// Latency at `quantile`, from 0 to 1, in milliseconds.
    pub(super) fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
