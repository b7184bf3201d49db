//! Pace of the streams of the old versions, by model.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of streams remembered for each model.
const WINDOW: usize = 64;
/// Minimum number of streams for the pace to be used.
const MIN_STREAMS: usize = 8;
/// Fraction of the streams that are faster than the undisturbed pace. Upstreams of the old versions have more load than the few
/// that try the new one, which their mean would hide.
const UNDISTURBED_QUANTILE: f64 = 0.25;

/// Mean pauses within recent streams.
#[derive(Debug, Default)]
pub struct PaceModel {
    pauses: HashMap<String, VecDeque<Duration>>,
}

impl PaceModel {
    /// Records the mean pause within a stream of `model`.
    pub fn record(&mut self, model: &str, pause: Duration) {
        let pauses = self.pauses.entry(model.to_owned()).or_default();
        if pauses.len() == WINDOW {
            pauses.pop_front();
        }
        pauses.push_back(pause);
    }

    /// Ratio of `pause` to that of an undisturbed stream; `None` until enough streams are recorded.
    pub fn ratio(&self, model: &str, pause: Duration) -> Option<f64> {
        let pauses = self.pauses.get(model)?;
        if pauses.len() < MIN_STREAMS {
            return None;
        }
        let mut sorted: Vec<Duration> = pauses.iter().copied().collect();
        sorted.sort();
        let undisturbed = sorted[(sorted.len() as f64 * UNDISTURBED_QUANTILE) as usize];
        (!undisturbed.is_zero()).then(|| pause.as_secs_f64() / undisturbed.as_secs_f64())
    }
}
