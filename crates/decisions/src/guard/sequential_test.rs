//! Sequential test of the share of bad answers.
//!
//! The evidence is a weighted sum of likelihood ratios, one for each answer at which the version
//! may have turned bad and each of the alternative shares. At the tolerated share it is a
//! non-negative martingale that starts at or below 1. By Ville's inequality the probability that
//! it ever reaches `1 / level` is at most `level`, however often it is evaluated.

use crate::config::RolloutSpec;

/// Weight of the hypothesis that the version was bad from its first answer.
const FIRST_START_WEIGHT: f64 = 0.5;
/// Default of [`SequentialTest::half_weight_answers`].
const HALF_WEIGHT_ANSWERS: f64 = 2_000.0;
/// Number of alternative shares that are tested against the tolerated one.
const ALTERNATIVES: usize = 3;
/// Range of the shares in the likelihoods; keeps the logarithms finite.
const SHARE_RANGE: (f64, f64) = (1e-4, 1.0 - 1e-4);

/// Test over one pair of growing counts.
#[derive(Debug, Clone)]
pub struct SequentialTest {
    /// Number of answers, from the first on, over which half of the weight of the later starts is
    /// distributed, almost evenly.
    half_weight_answers: f64,
    good: u64,
    bad: u64,
    /// Natural logarithm of the evidence of each alternative; `None` before the first answer.
    evidence: Option<[f64; ALTERNATIVES]>,
}

impl Default for SequentialTest {
    fn default() -> Self {
        Self::over_answers(HALF_WEIGHT_ANSWERS)
    }
}

impl SequentialTest {
    /// A test of a version that most likely turns bad within its first `half_weight_answers` answers, if it does.
    pub fn over_answers(half_weight_answers: f64) -> Self {
        Self {
            half_weight_answers,
            good: 0,
            bad: 0,
            evidence: None,
        }
    }

    /// Updates the evidence with counts that may have grown since the last call.
    ///
    /// Answers that arrive in one call count as one step, since their order is unknown.
    pub fn observe(&mut self, good: u64, bad: u64, rollout: &RolloutSpec, detect_change: bool) {
        let more_good = good.saturating_sub(self.good);
        let more_bad = bad.saturating_sub(self.bad);
        if more_good + more_bad == 0 {
            return;
        }
        let earlier = self.good + self.bad;
        let weight = self.start_weight(earlier, earlier + more_good + more_bad, detect_change);
        let ratios = step_ratios(rollout, more_good as f64, more_bad as f64);
        let part = (weight / ALTERNATIVES as f64).ln();
        let mut evidence = self.evidence.unwrap_or([f64::NEG_INFINITY; ALTERNATIVES]);
        for (value, ratio) in evidence.iter_mut().zip(ratios) {
            *value = ln_add(*value, part) + ratio;
        }
        self.evidence = Some(evidence);
        self.good = self.good.max(good);
        self.bad = self.bad.max(bad);
    }

    /// Weight of the starts after `from` and up to `to` answers, where a start is an answer at which the
    /// version may have turned bad. The weights of all starts add up to 1.
    fn start_weight(&self, from: u64, to: u64, detect_change: bool) -> f64 {
        let first = match (from, detect_change) {
            (0, true) => FIRST_START_WEIGHT,
            (0, false) => return 1.0,
            (_, true) => 0.0,
            (_, false) => return 0.0,
        };
        first + self.remaining_weight(from) - self.remaining_weight(to)
    }

    /// Weight of all starts after `answers` answers.
    fn remaining_weight(&self, answers: u64) -> f64 {
        let half = self.half_weight_answers;
        (1.0 - FIRST_START_WEIGHT) * half / (half + answers as f64)
    }

    /// Natural logarithm of the evidence that the version is bad.
    pub fn ln_evidence(&self) -> f64 {
        let values = self.evidence.into_iter().flatten();
        values.fold(f64::NEG_INFINITY, ln_add)
    }

    /// Progress of the evidence towards a trip at `level`, from 0 to 1.
    pub fn progress(&self, level: f64) -> f64 {
        (self.ln_evidence() / -level.ln()).clamp(0.0, 1.0)
    }

    /// Whether the evidence is sufficient at `level`, the accepted probability of a false stop.
    pub fn trips(&self, level: f64) -> bool {
        self.ln_evidence() >= -level.ln()
    }
}

/// Log likelihood ratios of a step, for each alternative share against the tolerated one.
///
/// The alternatives are the geometric mean of the tolerated and the stopping share, which detects
/// a slow drift early; the stopping share; and the midpoint between it and 1, which detects a very
/// bad version within few answers.
fn step_ratios(rollout: &RolloutSpec, good: f64, bad: f64) -> [f64; ALTERNATIVES] {
    let (low, high) = SHARE_RANGE;
    let tolerated = rollout.tolerated_bad.clamp(low, high);
    let stopping = rollout.stopping_bad.clamp(low, high);
    let alternatives = [
        (tolerated * stopping).sqrt(),
        stopping,
        f64::midpoint(stopping, 1.0),
    ];
    alternatives.map(|share| {
        let share = share.min(high);
        bad * (share / tolerated).ln() + good * ((1.0 - share) / (1.0 - tolerated)).ln()
    })
}

/// `ln(exp(a) + exp(b))` without overflow.
fn ln_add(a: f64, b: f64) -> f64 {
    let (small, large) = if a < b { (a, b) } else { (b, a) };
    if small == f64::NEG_INFINITY {
        return large;
    }
    large + (small - large).exp().ln_1p()
}
