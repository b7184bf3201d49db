//! Histogram with exponentially decaying weights in bounded memory.

use std::time::Duration;

/// Number of buckets; each upper bound is `BUCKET_GROWTH` times the previous one.
const BUCKETS: usize = 96;
/// Upper bound of the first bucket.
const FIRST_BOUND: f64 = 1.0;
/// Ratio of the bounds of adjacent buckets, which limits the relative error of a quantile.
const BUCKET_GROWTH: f64 = 1.15;
/// Time in which the weight of a sample halves.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Minimum time between two updates of the weights.
const DECAY_STEP: Duration = Duration::from_millis(500);
/// Total weight below which no estimate is given.
const MIN_WEIGHT: f64 = 3.0;

/// Histogram of values from 1 to about half a million; larger values count in the last bucket.
#[derive(Debug, Clone)]
pub struct DecayingHistogram {
    /// Decayed number of samples in each bucket; never negative.
    weights: [f32; BUCKETS],
    /// Sum of `weights`.
    total: f64,
    /// Decayed sum of the samples.
    sum: f64,
    /// Time up to which the weights are decayed.
    decayed_to: Duration,
    /// Time of the newest sample.
    newest: Option<Duration>,
}

impl Default for DecayingHistogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
            sum: 0.0,
            decayed_to: Duration::ZERO,
            newest: None,
        }
    }
}

impl DecayingHistogram {
    /// Adds the sample `value`, taken at `now`.
    pub fn record(&mut self, now: Duration, value: f64) {
        self.decay(now);
        self.weights[bucket_of(value)] += 1.0;
        self.total += 1.0;
        self.sum += value;
        self.newest = Some(now);
    }

    /// Value that the fraction `quantile` of the samples does not exceed; `None` with too few
    /// samples.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.total < MIN_WEIGHT {
            return None;
        }
        let target = quantile.clamp(0.0, 1.0) * self.total;
        let mut cumulative = 0.0;
        let bucket = self.weights.iter().position(|weight| {
            cumulative += f64::from(*weight);
            cumulative >= target
        });
        Some(bound_of(bucket.unwrap_or(BUCKETS - 1)))
    }

    /// Mean of the samples; `None` with too few samples.
    pub fn mean(&self) -> Option<f64> {
        (self.total >= MIN_WEIGHT).then(|| self.sum / self.total)
    }

    /// Time since the newest sample; `None` without samples.
    pub fn newest_age(&self, now: Duration) -> Option<Duration> {
        self.newest.map(|time| now.saturating_sub(time))
    }

    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.decayed_to);
        if age < DECAY_STEP {
            return;
        }
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for weight in &mut self.weights {
            *weight *= factor as f32;
        }
        self.total = self.weights.iter().map(|w| f64::from(*w)).sum();
        self.sum *= factor;
        self.decayed_to = now;
    }
}

fn bucket_of(value: f64) -> usize {
    if value <= FIRST_BOUND {
        return 0;
    }
    let exponent = (value / FIRST_BOUND).ln() / BUCKET_GROWTH.ln();
    (exponent.ceil() as usize).min(BUCKETS - 1)
}

fn bound_of(bucket: usize) -> f64 {
    FIRST_BOUND * BUCKET_GROWTH.powi(bucket as i32)
}
