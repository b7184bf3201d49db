//! Usual time to the response head by class, relative to the size of the prompt, with the waits that responses usually contain.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest response in the mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// Default number of recorded responses from which the mean is used.
const MIN_ANSWERS: u32 = 8;
/// The fixed part of the latency, expressed as a number of prompt tokens that take as long.
const FIXED_TOKENS: f64 = 1_500.0;

/// Mean latency of responses by class; the names of the classes include the model and are those of the configuration.
#[derive(Debug, Clone)]
pub struct LatencyModel {
    means: HashMap<String, LatencyMean>,
    /// Number of recorded responses from which a mean is used.
    min_answers: u32,
}

/// Mean latency of one class.
#[derive(Debug, Clone, Default)]
struct LatencyMean {
    /// Time to the head of a response, in seconds per token.
    value: f64,
    /// Number of recorded responses.
    answers: u32,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self::with_min_answers(MIN_ANSWERS)
    }
}

impl LatencyModel {
    /// A model that uses a mean from `min_answers` responses on.
    pub fn with_min_answers(min_answers: u32) -> Self {
        Self {
            means: HashMap::new(),
            min_answers,
        }
    }

    /// Records that a response to a prompt of `prompt_tokens` tokens took `took` to begin.
    pub fn record(&mut self, class: &str, took: Duration, prompt_tokens: u32) {
        let latency = seconds_per_token(took, prompt_tokens);
        if !self.means.contains_key(class) {
            self.means.insert(class.to_owned(), LatencyMean::default());
        }
        if let Some(mean) = self.means.get_mut(class) {
            mean.answers += 1;
            let weight = NEWEST_WEIGHT.max(1.0 / f64::from(mean.answers));
            mean.value += weight * (latency - mean.value);
        }
    }

    /// Forgets what was recorded of `class`.
    pub fn forget(&mut self, class: &str) {
        self.means.remove(class);
    }

    /// Ratio of the latency `took` to the usual one; `None` until enough responses are recorded.
    pub fn ratio(&self, class: &str, took: Duration, prompt_tokens: u32) -> Option<f64> {
        let mean = self.known(class)?;
        Some(seconds_per_token(took, prompt_tokens) / mean)
    }

    /// Usual time to the head of a response; `None` until enough responses are recorded.
    pub fn expected(&self, class: &str, prompt_tokens: u32) -> Option<Duration> {
        let mean = self.known(class)?;
        let seconds = mean * (FIXED_TOKENS + f64::from(prompt_tokens));
        Duration::try_from_secs_f64(seconds).ok()
    }

    fn known(&self, class: &str) -> Option<f64> {
        let mean = self.means.get(class)?;
        (mean.answers >= self.min_answers && mean.value > 0.0).then_some(mean.value)
    }
}

fn seconds_per_token(took: Duration, prompt_tokens: u32) -> f64 {
    took.as_secs_f64() / (FIXED_TOKENS + f64::from(prompt_tokens))
}
