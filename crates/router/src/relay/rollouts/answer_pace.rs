//! Usual pace of answers, to tell slow ones.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest answer in the mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// Answers before the mean is used.
const LEAST_ANSWERS: u32 = 8;
/// Factor over the mean from which on an answer is slow.
const SLOW_FACTOR: f64 = 3.5;
/// Answers faster than this are never slow.
const NEVER_SLOW: Duration = Duration::from_millis(120);
/// Tokens of a prompt to which the fixed part of an answer's time is equal.
const FIXED_TOKENS: f64 = 1_500.0;

/// Mean time to the head of an answer, by class and model, relative to the prompt's size.
#[derive(Debug, Default)]
pub struct AnswerPace {
    means: HashMap<String, PaceMean>,
}

#[derive(Debug, Default)]
struct PaceMean {
    value: f64,
    answers: u32,
}

impl AnswerPace {
    /// Takes in an answer of an old version.
    pub fn learn(&mut self, class: &str, took: Duration, prompt_tokens: u32) {
        let pace = pace(took, prompt_tokens);
        let mean = self.means.entry(class.to_owned()).or_default();
        mean.answers += 1;
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(mean.answers));
        mean.value += weight * (pace - mean.value);
    }

    /// Whether an answer took several times as long as the old versions' answers do.
    pub fn is_slow(&self, class: &str, took: Duration, prompt_tokens: u32) -> bool {
        let known = self.means.get(class);
        let usual = known.filter(|mean| mean.answers >= LEAST_ANSWERS);
        took > NEVER_SLOW
            && usual.is_some_and(|mean| pace(took, prompt_tokens) > SLOW_FACTOR * mean.value)
    }
}

fn pace(took: Duration, prompt_tokens: u32) -> f64 {
    took.as_secs_f64() / (FIXED_TOKENS + f64::from(prompt_tokens))
}
