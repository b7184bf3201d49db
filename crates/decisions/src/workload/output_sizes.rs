//! Learns how many stream events a run makes, with and without the caller's hint.

use super::log_normal::LogNormal;

/// Number of ranges of hinted events; range `n` begins at two to the power of `n`.
const RANGES: usize = 20;
/// Weight of the runs of all hints beside those of one range.
const PRIOR_WEIGHT: f64 = 4.0;
/// Weight of the assumed spread beside the observed one.
const SPREAD_WEIGHT: f64 = 2.0;
/// Standard deviation of the logarithm that is assumed while few runs are known: a factor of 2.
const ASSUMED_SPREAD: f64 = 0.7;
/// A run that was broken off counts at most this multiple of the events that it had made. Without a bound, the estimate
/// would grow with each run of a class of which all runs are broken off.
const MOST_IMPUTED: f64 = 2.0;

/// Decayed number of runs, and sum and sum of squares of a logarithm over them.
#[derive(Debug, Clone, Copy, Default)]
struct LogSums {
    weight: f32,
    sum: f32,
    squares: f32,
}

/// Number of stream events of the runs of one class.
#[derive(Debug, Clone, Default)]
pub(super) struct OutputSizes {
    /// Events per hinted event, by range of the hint.
    ranges: [LogSums; RANGES],
    /// Events per hinted event over all hints.
    hinted: LogSums,
    /// Events of all runs.
    plain: LogSums,
}

impl LogSums {
    fn add(&mut self, value: f64) {
        let log = value.ln() as f32;
        self.weight += 1.0;
        self.sum += log;
        self.squares += log * log;
    }

    fn decay(&mut self, factor: f32) {
        self.weight *= factor;
        self.sum *= factor;
        self.squares *= factor;
    }

    /// These sums with those of `other` at no more than `weight`.
    fn with_prior(&self, other: &Self, weight: f64) -> Self {
        let share = (weight as f32 / other.weight.max(f32::MIN_POSITIVE)).min(1.0);
        Self {
            weight: self.weight + other.weight * share,
            sum: self.sum + other.sum * share,
            squares: self.squares + other.squares * share,
        }
    }

    fn distribution(&self) -> LogNormal {
        let (weight, sum) = (f64::from(self.weight), f64::from(self.sum));
        let centre = sum / weight;
        let deviation = (f64::from(self.squares) - centre * sum).max(0.0);
        let assumed = SPREAD_WEIGHT * ASSUMED_SPREAD.powi(2);
        let variance = (deviation + assumed) / (weight + SPREAD_WEIGHT);
        LogNormal::new(centre, variance.sqrt())
    }
}

impl OutputSizes {
    /// Number of runs known, decayed.
    pub(super) fn weight(&self) -> f64 {
        f64::from(self.plain.weight)
    }

    /// Multiplies the weight of all runs by `factor`.
    pub(super) fn decay(&mut self, factor: f64) {
        let factor = factor as f32;
        for range in &mut self.ranges {
            range.decay(factor);
        }
        self.hinted.decay(factor);
        self.plain.decay(factor);
    }

    /// Adds a run that made `events` events; a run that was broken off counts as long as such runs become on average, and
    /// says nothing if it was shorter than usual.
    pub(super) fn record(&mut self, hinted: Option<f64>, events: u32, is_complete: bool) {
        let made = f64::from(events).max(1.0);
        let events = match (is_complete, self.distribution(hinted)) {
            (true, _) => made,
            (false, Some(known)) if made >= known.mean() => {
                (made + known.mean_left(made)).min(MOST_IMPUTED * made)
            }
            (false, _) => return,
        };
        if let Some(hinted) = hinted {
            self.ranges[range_of(hinted)].add(events / hinted);
            self.hinted.add(events / hinted);
        }
        self.plain.add(events);
    }

    /// Distribution of the number of events; `None` without a run.
    pub(super) fn distribution(&self, hinted: Option<f64>) -> Option<LogNormal> {
        match hinted {
            Some(hinted) if self.hinted.weight > 0.0 => {
                let range = &self.ranges[range_of(hinted)];
                let sums = range.with_prior(&self.hinted, PRIOR_WEIGHT);
                Some(sums.distribution().scaled(hinted))
            }
            _ => (self.plain.weight > 0.0).then(|| self.plain.distribution()),
        }
    }
}

fn range_of(hinted: f64) -> usize {
    (hinted.max(1.0).log2() as usize).min(RANGES - 1)
}
