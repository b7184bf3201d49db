//! Times of answers as multiples of the expected one, in half octaves, and what they say of a version.
//!
//! A limit between slow and not slow loses how slow an answer is. Against the spread of the old versions' times a few answers that
//! are several times slower are plain, also where the old versions vary a lot.

use serde::{Deserialize, Serialize};

use super::VersionSide;

/// Steps of half an octave: below 1/2, then up to 16 times the expected time and more.
const STEPS: usize = 12;
/// Step of a time from 1 to 1.41 times the expected one.
const USUAL_STEP: i32 = 3;
/// Steps in an octave.
const STEPS_PER_OCTAVE: f64 = 2.0;
/// Times of the old versions from which their spread is used.
const MIN_BASE_TIMES: u64 = 30;
/// Probabilities that a good version is this many steps slower than the old ones: its upstreams may be cold, its prompts longer.
const GOOD_DELAYS: [f64; 4] = [0.62, 0.24, 0.1, 0.04];
/// Shares of the answers that a bad version delays, as alternatives to a good one.
const BAD_SHARES: [f64; 3] = [0.3, 0.5, 0.8];
/// Steps by which it delays them, as alternatives: from 2.8 to 8 times.
const BAD_DELAYS: [usize; 4] = [3, 4, 5, 6];
/// Probability of any step that is assumed though no time fell into it.
const FLOOR_PROBABILITY: f64 = 0.002;
/// Limit of what one answer says against a version, as the natural logarithm of the likelihood ratio.
const MAX_LN_RATIO: f64 = 1.7;

/// Number of times in each step.
pub type StepCounts = [u32; STEPS];

/// Times of one request class; no count ever decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeSpread {
    /// Times of the new version.
    pub target: StepCounts,
    /// Times of all other versions.
    pub base: StepCounts,
}

impl TimeSpread {
    /// Counts an answer that took `ratio` times the expected time.
    pub fn add(&mut self, side: VersionSide, ratio: f64) {
        let counts = match side {
            VersionSide::Target => &mut self.target,
            VersionSide::Base => &mut self.base,
        };
        counts[step_of(ratio)] += 1;
    }

    /// Sum with the times of another router or class.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            target: merged(self.target, other.target, |one, two| one + two),
            base: merged(self.base, other.base, |one, two| one + two),
        }
    }

    /// Maximum of each count, which merges two rows of the same router.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            target: merged(self.target, other.target, u32::max),
            base: merged(self.base, other.base, u32::max),
        }
    }

    /// This sum after one of its spreads has grown from `before` to `after`.
    #[must_use]
    pub(super) fn with_growth(self, before: Self, after: Self) -> Self {
        let grown = |sum: StepCounts, before: StepCounts, after: StepCounts| {
            std::array::from_fn(|step| sum[step] + after[step] - before[step])
        };
        Self {
            target: grown(self.target, before.target, after.target),
            base: grown(self.base, before.base, after.base),
        }
    }

    /// Number of times of the new version.
    pub fn target_times(&self) -> u64 {
        total(&self.target)
    }

    /// Whether there are enough times of the old versions to compare with.
    pub fn has_base(&self) -> bool {
        total(&self.base) >= MIN_BASE_TIMES
    }
}

/// Natural logarithm of how much likelier the times are from a good version than from the likeliest bad one; `None` without times to
/// compare with. Classes whose old versions have few times are compared with the spread over all of them.
pub(super) fn ln_ratio(classes: &[TimeSpread]) -> Option<f64> {
    let sum = |sum: TimeSpread, spread: &TimeSpread| sum.plus(*spread);
    let all = classes.iter().fold(TimeSpread::default(), sum);
    if !all.has_base() {
        return None;
    }
    let alternatives = BAD_SHARES
        .iter()
        .flat_map(|share| BAD_DELAYS.iter().map(move |delay| (*share, *delay)));
    let ratios = alternatives.map(|(share, delay)| {
        let ratios = classes.iter().map(|spread| {
            let base = if spread.has_base() {
                &spread.base
            } else {
                &all.base
            };
            ln_ratio_against(&spread.target, base, share, delay)
        });
        ratios.sum::<f64>()
    });
    ratios.reduce(f64::min)
}

/// The same against a version that delays `share` of its answers by `delay` steps.
fn ln_ratio_against(target: &StepCounts, base: &StepCounts, share: f64, delay: usize) -> f64 {
    let usual = probabilities(base);
    let good = delayed(&usual, &GOOD_DELAYS);
    let mut delays = [0.0; STEPS];
    delays[0] = 1.0 - share;
    delays[delay] = share;
    let bad = delayed(&good, &delays);
    let steps = target.iter().zip(good.iter().zip(bad));
    steps
        .map(|(count, (good, bad))| {
            let ratio = (good.max(FLOOR_PROBABILITY) / bad.max(FLOOR_PROBABILITY)).ln();
            f64::from(*count) * ratio.max(-MAX_LN_RATIO)
        })
        .sum()
}

/// Share of the times in each step.
fn probabilities(counts: &StepCounts) -> [f64; STEPS] {
    let total = total(counts).max(1) as f64;
    counts.map(|count| f64::from(count) / total)
}

/// `steps` after delays by 0, 1, 2 and more steps with the probabilities `delays`; the last step takes what goes beyond it.
fn delayed(steps: &[f64; STEPS], delays: &[f64]) -> [f64; STEPS] {
    let mut result = [0.0; STEPS];
    for (step, probability) in steps.iter().enumerate() {
        for (delay, weight) in delays.iter().enumerate() {
            result[(step + delay).min(STEPS - 1)] += probability * weight;
        }
    }
    result
}

fn step_of(ratio: f64) -> usize {
    let octaves = ratio.max(f64::MIN_POSITIVE).log2();
    let step = (octaves * STEPS_PER_OCTAVE).floor() as i32 + USUAL_STEP;
    step.clamp(0, STEPS as i32 - 1) as usize
}

fn merged(one: StepCounts, two: StepCounts, merge: impl Fn(u32, u32) -> u32) -> StepCounts {
    std::array::from_fn(|step| merge(one[step], two[step]))
}

fn total(counts: &StepCounts) -> u64 {
    counts.iter().map(|count| u64::from(*count)).sum()
}
