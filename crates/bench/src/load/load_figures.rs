//! Counts and histograms of one step.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::load_call::{CallOutcome, CallTimes};

/// Maximum time that the histograms record, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Times of one workspace and class, in microseconds.
#[derive(Debug)]
pub(super) struct StreamFigures {
    pub(super) first: Histogram<u64>,
    pub(super) gaps: Histogram<u64>,
    pub(super) total: Histogram<u64>,
}

/// Results of one step.
#[derive(Debug, Default)]
pub(super) struct LoadFigures {
    /// Calls that were due, whether or not they were sent.
    pub(super) due: u64,
    /// Calls that were not sent, as too many calls were in progress.
    pub(super) unsent: u64,
    pub(super) answered: u64,
    /// Answers that belonged to another request.
    pub(super) wrong_answers: u64,
    pub(super) broken: u64,
    /// Refusals by error type.
    pub(super) refused: BTreeMap<String, u64>,
    /// Times by workspace and class.
    pub(super) streams: BTreeMap<String, StreamFigures>,
    /// Processor time used by the routers, in seconds.
    pub(super) cpu_seconds: f64,
    /// Duration of the step, in seconds.
    pub(super) seconds: f64,
    /// Maximum resident memory, in bytes.
    pub(super) peak_resident: f64,
    /// Resident memory before the step, in bytes.
    pub(super) resident_before: f64,
    /// Calls in progress when the resident memory was at its maximum.
    pub(super) open_at_peak: usize,
}

impl Default for StreamFigures {
    fn default() -> Self {
        let empty =
            || Histogram::new_with_max(MAX_MICROS, DIGITS).expect("the bounds are in range");
        Self {
            first: empty(),
            gaps: empty(),
            total: empty(),
        }
    }
}

impl StreamFigures {
    fn record(&mut self, times: &CallTimes) {
        record_time(&mut self.first, times.first);
        record_time(&mut self.total, times.total);
        for gap in &times.gaps {
            record_time(&mut self.gaps, *gap);
        }
    }

    /// Adds the times of `other`.
    pub(super) fn add(&mut self, other: &Self) {
        let _ = self.first.add(&other.first);
        let _ = self.gaps.add(&other.gaps);
        let _ = self.total.add(&other.total);
    }
}

impl LoadFigures {
    /// Counts the outcome of a call of the stream `name`.
    pub(super) fn record(&mut self, name: &str, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Answered(times) => {
                self.answered += 1;
                let figures = self.streams.entry(name.to_owned()).or_default();
                figures.record(&times);
            }
            CallOutcome::WrongAnswer => self.wrong_answers += 1,
            CallOutcome::Refused(kind) => *self.refused.entry(kind).or_default() += 1,
            CallOutcome::Broken => self.broken += 1,
        }
    }

    /// Merged times of all streams.
    pub(super) fn all_streams(&self) -> StreamFigures {
        let mut all = StreamFigures::default();
        self.streams.values().for_each(|stream| all.add(stream));
        all
    }
}

/// The quantile `share` of `times`, in milliseconds.
pub(super) fn quantile_ms(times: &Histogram<u64>, share: f64) -> f64 {
    times.value_at_quantile(share) as f64 / MICROS_PER_MS
}

fn record_time(times: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    times.saturating_record(micros);
}
