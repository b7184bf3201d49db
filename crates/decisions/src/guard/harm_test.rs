//! Sequential test of a share of bad answers.
//!
//! The evidence is a weighted sum of likelihood ratios, one for each answer at which the
//! version may have turned bad and each of two alternatives. Under the tolerated share it is
//! a non-negative martingale that starts at or below 1, so by Ville's inequality it ever
//! reaches `1 / level` with a probability of at most `level`, however often it is looked at.

use crate::config::RolloutSpec;

/// Weight of the hypothesis that the version was bad from its first answer.
const FIRST_START_WEIGHT: f64 = 0.5;
/// Answers over which half of the weight of the later starts is spread, nearly evenly.
const USUAL_ANSWERS: f64 = 2_000.0;
/// Number of alternatives to the tolerated share.
const ALTERNATIVES: usize = 3;
/// Smallest and largest share that the likelihoods use, so that no logarithm is infinite.
const SHARE_RANGE: (f64, f64) = (1e-4, 1.0 - 1e-4);

/// Test over one growing pair of counts.
#[derive(Debug, Clone, Default)]
pub struct HarmTest {
    good: u64,
    bad: u64,
    /// Natural logarithm of the evidence of each alternative; `None` before the first answer.
    evidence: Option<[f64; ALTERNATIVES]>,
}

impl HarmTest {
    /// Takes in counts that may have grown since the last call.
    ///
    /// Answers that arrive in one call count as one step, since their order is unknown.
    pub fn observe(&mut self, good: u64, bad: u64, rollout: &RolloutSpec, detect_change: bool) {
        let more_good = good.saturating_sub(self.good);
        let more_bad = bad.saturating_sub(self.bad);
        if more_good + more_bad == 0 {
            return;
        }
        let earlier = self.good + self.bad;
        let weight = start_weight(earlier, earlier + more_good + more_bad, detect_change);
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

    /// Natural logarithm of the evidence that the version is bad.
    pub fn ln_evidence(&self) -> f64 {
        let values = self.evidence.into_iter().flatten();
        values.fold(f64::NEG_INFINITY, ln_add)
    }

    /// How near the evidence is to a trip at `level`, from 0 to 1.
    pub fn progress(&self, level: f64) -> f64 {
        (self.ln_evidence() / -level.ln()).clamp(0.0, 1.0)
    }

    /// Whether the evidence suffices at `level`, the accepted probability of a false stop.
    pub fn trips(&self, level: f64) -> bool {
        self.ln_evidence() >= -level.ln()
    }
}

/// Weight of the starts among answers `from` (exclusive of earlier ones) to `to`; all add up to 1.
fn start_weight(from: u64, to: u64, detect_change: bool) -> f64 {
    let first = match (from, detect_change) {
        (0, true) => FIRST_START_WEIGHT,
        (0, false) => return 1.0,
        (_, true) => 0.0,
        (_, false) => return 0.0,
    };
    first + later_weight(from) - later_weight(to)
}

/// Weight of all starts after `answers` answers.
fn later_weight(answers: u64) -> f64 {
    (1.0 - FIRST_START_WEIGHT) * USUAL_ANSWERS / (USUAL_ANSWERS + answers as f64)
}

/// Log likelihood ratios of a step against the tolerated share.
///
/// The alternatives are the geometric mean of the tolerated and the stopping share, which
/// finds a slow drift early, the stopping share, and the middle between it and 1, which finds
/// a very bad version with few answers.
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
