//! Shares of answers that are dropped for a larger model, by class and size range, with exponential decay of old answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::MonotonicTime;
use crate::workload::RequestSize;

/// Time in which the weight of an answer halves; that of the pass rates. A shorter one leaves too few observations at a router
/// with few requests.
const HALF_LIFE: Duration = Duration::from_secs(600);
/// Weight of the answers of a class and size range below which their share counts as unknown.
pub const MIN_OBSERVATIONS: f64 = 30.0;
/// Number of requests of which one starts at the lower stage although a larger one is chosen.
pub const TRIAL_INTERVAL: u32 = 20;
/// Standard errors between a share and its bounds. A wrong start is possible near the share at which both starts take the same work,
/// and costs little there.
const BOUND_ERRORS: f64 = 1.0;
/// Maximum number of classes that are kept.
const MAX_CLASSES: usize = 256;
/// Powers of two in a range of hints, which are off by up to a factor of 3.
const HINT_STEP: u32 = 2;
/// Powers of two in a range of prompts. With finer ranges, those of the longest requests would not be learned.
const PROMPT_STEP: u32 = 4;
/// First power of two of the highest range.
const LAST_POWER: u32 = 12;

/// Range of request sizes with a common share of dropped answers: prompts by powers of 16, hints by powers of 4.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SizeRange {
    prompt: u8,
    /// Index of the hint's range; absent for requests without a hint.
    hint: Option<u8>,
}

/// Share of answers that were dropped for a larger model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DropShare {
    /// Answers that were dropped, weighted by their age.
    pub dropped: f64,
    /// All answers that were judged, weighted by their age.
    pub judged: f64,
}

/// Dropped and kept answers of each class and size range.
#[derive(Debug, Clone, Default)]
pub struct DropRates {
    classes: HashMap<String, ClassDrops>,
}

#[derive(Debug, Clone, Default)]
struct ClassDrops {
    ranges: HashMap<SizeRange, RangeDrops>,
    newest: MonotonicTime,
}

#[derive(Debug, Clone, Copy, Default)]
struct RangeDrops {
    share: DropShare,
    decayed_to: MonotonicTime,
    /// Requests that started at a larger stage since the last trial.
    larger_starts: u32,
}

impl SizeRange {
    /// The range of requests of `size`.
    pub fn of(size: &RequestSize) -> Self {
        let hint = size.hint.filter(|hint| *hint > 0);
        Self {
            prompt: range_index(size.prompt_tokens, PROMPT_STEP),
            hint: hint.map(|hint| range_index(hint, HINT_STEP)),
        }
    }
}

impl DropShare {
    /// Whether enough answers were judged to decide by the share.
    pub fn is_known(&self) -> bool {
        self.judged >= MIN_OBSERVATIONS
    }

    /// Lower bound of the share of dropped answers (Wilson interval of one standard error).
    pub fn low(&self) -> f64 {
        let (center, radius) = self.wilson_interval();
        (center - radius).max(0.0)
    }

    /// Upper bound of the share of dropped answers.
    pub fn high(&self) -> f64 {
        let (center, radius) = self.wilson_interval();
        (center + radius).min(1.0)
    }

    fn wilson_interval(&self) -> (f64, f64) {
        if self.judged <= 0.0 {
            return (0.5, 0.5);
        }
        let (n, z2) = (self.judged, BOUND_ERRORS * BOUND_ERRORS);
        let share = (self.dropped / n).clamp(0.0, 1.0);
        let center = (share + z2 / (2.0 * n)) / (1.0 + z2 / n);
        let spread = share * (1.0 - share) / n + z2 / (4.0 * n * n);
        (center, BOUND_ERRORS * spread.sqrt() / (1.0 + z2 / n))
    }

    fn decayed(self, age: Duration) -> Self {
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        Self {
            dropped: self.dropped * factor,
            judged: self.judged * factor,
        }
    }
}

impl DropRates {
    /// Records an answer of `class` (rule and model) that was kept, or dropped for a larger model.
    pub fn record(&mut self, class: &str, range: SizeRange, is_dropped: bool, now: MonotonicTime) {
        let drops = self.class_entry(class);
        drops.newest = now;
        let drops = drops.ranges.entry(range).or_default();
        drops.share = drops.share.decayed(now.since(drops.decayed_to));
        drops.decayed_to = now;
        drops.share.judged += 1.0;
        drops.share.dropped += f64::from(u8::from(is_dropped));
    }

    /// Share of the answers of `class` in `range` that were dropped.
    pub fn share(&self, class: &str, range: SizeRange, now: MonotonicTime) -> DropShare {
        self.range_of(class, range)
            .map(|drops| drops.share.decayed(now.since(drops.decayed_to)))
            .unwrap_or_default()
    }

    /// Whether the next request that would skip the stage of `class` starts there, so that its share stays known.
    pub fn is_trial_due(&self, class: &str, range: SizeRange) -> bool {
        self.range_of(class, range)
            .is_some_and(|drops| drops.larger_starts + 1 >= TRIAL_INTERVAL)
    }

    /// Records that a request skips the stage of `class`, or starts there as a trial.
    pub fn record_skip(&mut self, class: &str, range: SizeRange, is_trial: bool) {
        let classes = self.classes.get_mut(class);
        if let Some(drops) = classes.and_then(|drops| drops.ranges.get_mut(&range)) {
            drops.larger_starts = match is_trial {
                true => 0,
                false => drops.larger_starts + 1,
            };
        }
    }

    /// Number of classes that are kept.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    fn range_of(&self, class: &str, range: SizeRange) -> Option<&RangeDrops> {
        self.classes.get(class)?.ranges.get(&range)
    }

    /// The entry of `class`; a new one replaces the one with the oldest answer when the maximum is reached.
    fn class_entry(&mut self, class: &str) -> &mut ClassDrops {
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            let oldest = self.classes.iter().min_by_key(|(_, drops)| drops.newest);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.classes.remove(&oldest);
            }
        }
        self.classes.entry(class.to_owned()).or_default()
    }
}

/// Index of the range of `tokens`, where each has `step` powers of two: from 0 on, up to the one that begins at [`LAST_POWER`].
fn range_index(tokens: u32, step: u32) -> u8 {
    let power = tokens.max(1).ilog2().min(LAST_POWER);
    (power / step) as u8
}
