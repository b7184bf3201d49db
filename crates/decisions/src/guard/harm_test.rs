//! Sequential test of a share of bad answers.
//!
//! The evidence is a weighted sum of likelihood ratios, one for each answer at which the
//! version may have turned bad and each of two alternatives. Under the tolerated share it is
//! a non-negative martingale that starts at or below 1, so by Ville's inequality it ever
//! reaches `1 / level` with a probability of at most `level`, however often it is looked at.

use crate::config::RolloutSpec;

/// Weight of the hypothesis that the version was bad from its first answer.
const FIRST_START_WEIGHT: f64 = 0.5;
/// Smallest and largest share that the likelihoods use, so that no logarithm is infinite.
const SHARE_RANGE: (f64, f64) = (1e-4, 1.0 - 1e-4);

/// Test over one growing pair of counts.
#[derive(Debug, Clone, Default)]
pub struct HarmTest {
    good: u64,
    bad: u64,
    /// Natural logarithm of the evidence of each alternative; `None` before the first answer.
    evidence: Option<[f64; 2]>,
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
        let evidence = self.evidence.unwrap_or([f64::NEG_INFINITY; 2]);
        let half = (weight / 2.0).ln();
        self.evidence = Some([
            ln_add(evidence[0], half) + ratios[0],
            ln_add(evidence[1], half) + ratios[1],
        ]);
        self.good = self.good.max(good);
        self.bad = self.bad.max(bad);
    }

    /// Natural logarithm of the evidence that the version is bad.
    pub fn ln_evidence(&self) -> f64 {
        self.evidence
            .map_or(f64::NEG_INFINITY, |[first, second]| ln_add(first, second))
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

/// Weight of all starts after `answers` answers; falls slowly, so that late changes are found.
fn later_weight(answers: u64) -> f64 {
    (1.0 - FIRST_START_WEIGHT) / (1.0 + (answers as f64).ln_1p())
}

/// Log likelihood ratios of a step against the tolerated share: for the stopping share, and
/// for the middle between it and 1, which finds a very bad version with fewer answers.
fn step_ratios(rollout: &RolloutSpec, good: f64, bad: f64) -> [f64; 2] {
    let (low, high) = SHARE_RANGE;
    let tolerated = rollout.tolerated_bad.clamp(low, high);
    let stopping = rollout.stopping_bad.clamp(low, high);
    [stopping, (1.0 + stopping) / 2.0].map(|share| {
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
