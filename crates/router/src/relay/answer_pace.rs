//! Usual pace of answers, by class and model, relative to the prompt's size.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest answer in the mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// Answers before the mean is used.
const LEAST_ANSWERS: u32 = 8;
/// Tokens of a prompt to which the fixed part of an answer's time is equal.
const FIXED_TOKENS: f64 = 1_500.0;

/// Mean time to the head of an answer.
#[derive(Debug, Default)]
pub struct AnswerPace {
    means: HashMap<String, PaceMean>,
}

/// Mean of one class and model, in seconds per token.
#[derive(Debug, Default)]
struct PaceMean {
    value: f64,
    answers: u32,
}

impl AnswerPace {
    /// Takes in an answer.
    pub fn learn(&mut self, class: &str, took: Duration, prompt_tokens: u32) {
        let pace = pace(took, prompt_tokens);
        if !self.means.contains_key(class) {
            self.means.insert(class.to_owned(), PaceMean::default());
        }
        if let Some(mean) = self.means.get_mut(class) {
            mean.answers += 1;
            let weight = NEWEST_WEIGHT.max(1.0 / f64::from(mean.answers));
            mean.value += weight * (pace - mean.value);
        }
    }

    /// Time that an answer took as a multiple of the usual one, once that is known.
    pub fn ratio(&self, class: &str, took: Duration, prompt_tokens: u32) -> Option<f64> {
        let mean = self.known(class)?;
        Some(pace(took, prompt_tokens) / mean)
    }

    /// Usual time to the head of an answer, once it is known.
    pub fn expected(&self, class: &str, prompt_tokens: u32) -> Option<Duration> {
        let mean = self.known(class)?;
        let seconds = mean * (FIXED_TOKENS + f64::from(prompt_tokens));
        Duration::try_from_secs_f64(seconds).ok()
    }

    fn known(&self, class: &str) -> Option<f64> {
        let mean = self.means.get(class)?;
        (mean.answers >= LEAST_ANSWERS && mean.value > 0.0).then_some(mean.value)
    }
}

fn pace(took: Duration, prompt_tokens: u32) -> f64 {
    took.as_secs_f64() / (FIXED_TOKENS + f64::from(prompt_tokens))
}
