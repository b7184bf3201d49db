//! Log-normal distributions, by which sizes and times of runs are described.

/// Number of standard deviations that nine of ten values of a normal distribution stay below.
pub(super) const HIGH_DEVIATIONS: f64 = 1.2816;
/// Number of standard deviations below the mean that one of forty values of a normal distribution falls short of.
const LOW_DEVIATIONS: f64 = 1.96;
/// Deviations from which the mean excess is computed by its asymptote, since the quotient of two small tails is inexact.
const TAIL_DEVIATIONS: f64 = 3.0;
/// Bounds of the standard deviation of the logarithm: a narrower spread is not known from few runs, a wider one comes from
/// outliers.
const SPREAD_BOUNDS: (f64, f64) = (0.05, 1.5);

/// A distribution of positive values whose logarithm is normally distributed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LogNormal {
    /// Mean of the logarithm.
    centre: f64,
    /// Standard deviation of the logarithm.
    spread: f64,
}

impl LogNormal {
    /// The distribution with this mean and standard deviation of the logarithm.
    pub(super) fn new(centre: f64, spread: f64) -> Self {
        Self {
            centre,
            spread: spread.clamp(SPREAD_BOUNDS.0, SPREAD_BOUNDS.1),
        }
    }

    /// The distribution with this mean, of which nine of ten values are at most `high`.
    pub(super) fn of_mean_and_high(mean: f64, high: f64) -> Self {
        let ratio = (high / mean).max(1.0).ln();
        let root = HIGH_DEVIATIONS.powi(2) - 2.0 * ratio;
        let spread = HIGH_DEVIATIONS - root.max(0.0).sqrt();
        let spread = spread.clamp(SPREAD_BOUNDS.0, SPREAD_BOUNDS.1);
        Self::new(mean.ln() - spread * spread / 2.0, spread)
    }

    /// This distribution with all values multiplied by `factor`.
    pub(super) fn scaled(self, factor: f64) -> Self {
        Self::new(self.centre + factor.ln(), self.spread)
    }

    pub(super) fn mean(&self) -> f64 {
        (self.centre + self.spread * self.spread / 2.0).exp()
    }

    /// Value that nine of ten do not exceed.
    pub(super) fn high(&self) -> f64 {
        (self.centre + HIGH_DEVIATIONS * self.spread).exp()
    }

    /// Value that one of forty values is below.
    pub(super) fn low(&self) -> f64 {
        (self.centre - LOW_DEVIATIONS * self.spread).exp()
    }

    /// Mean of the values when larger ones are cut to `limit`.
    pub(super) fn mean_below(&self, limit: f64) -> f64 {
        let deviations = (limit.ln() - self.centre) / self.spread;
        let below = self.mean() * normal_share(deviations - self.spread);
        below + limit * normal_share(-deviations)
    }

    /// Mean of what is left of a value that is known to exceed `reached`.
    pub(super) fn mean_left(&self, reached: f64) -> f64 {
        if reached <= 0.0 {
            return self.mean();
        }
        let deviations = (reached.ln() - self.centre) / self.spread;
        if deviations > TAIL_DEVIATIONS {
            return reached * self.spread / deviations;
        }
        let beyond = normal_share(self.spread - deviations) / normal_share(-deviations);
        (self.mean() * beyond - reached).max(0.0)
    }
}

/// Share of a normal distribution that is at most `deviations` standard deviations above its mean.
fn normal_share(deviations: f64) -> f64 {
    // Abramowitz and Stegun 7.1.26; the error is below 2e-7.
    let size = deviations.abs() / std::f64::consts::SQRT_2;
    let t = 1.0 / (1.0 + 0.327_591_1 * size);
    let sum = 1.061_405_429_f64
        .mul_add(t, -1.453_152_027)
        .mul_add(t, 1.421_413_741)
        .mul_add(t, -0.284_496_736)
        .mul_add(t, 0.254_829_592);
    let tail = 0.5 * sum * t * (-size * size).exp();
    if deviations > 0.0 { 1.0 - tail } else { tail }
}
