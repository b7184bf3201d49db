//! Learns how contended the machines of a service are on average, and for how long their contention stays the same.

use std::collections::HashMap;
use std::time::Duration;

use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Time in which the weight of a figure halves.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// Minimum time between two updates of the weights and of what follows from them.
const DECAY_STEP: Duration = Duration::from_secs(1);
/// Shortest time between two figures of an upstream. Figures that are closer together count as one: one that is reported twice has
/// ages that differ by the time on the way.
const MIN_LAG: Duration = Duration::from_millis(100);
/// Number of ranges of the time between two figures; each begins at the square root of two times the beginning of the one before.
const LAG_RANGES: usize = 10;
/// Time between two figures from which they are not compared, the end of the last range.
const MAX_LAG: Duration = Duration::from_millis(3_200);
/// Time for which the newest figure of an upstream is kept. Pooled loads are up to 4 s old, so that one may be offered again until then.
const NEWEST_LIFETIME: Duration = Duration::from_secs(5);
/// Decayed number of figures from which their mean is used.
const MIN_FIGURES: f64 = 100.0;
/// Decayed number of pairs, no further apart than the period, from which the period is used.
const MIN_PAIRS: f64 = 30.0;
/// Standard deviation of the figures below which they count as constant, so that no change of them can be observed.
const MIN_DEVIATION: f64 = 0.02;
/// Bounds of a figure; one beyond them is an error and not a contended machine.
const FIGURE_BOUNDS: (f64, f64) = (0.1, 100.0);
/// Periods that are compared: each is the fourth root of two times the one before, from 0.1 to 6.4 s.
const PERIODS: i32 = 25;
/// Age up to which a figure is taken at face value while it is not known how fast figures change. It is below the time between two
/// reports of the routers, so that only an answer of a moment ago counts.
const FRESH_AGE: Duration = Duration::from_millis(100);

/// How contended the machines of a service usually are: time that work takes as a multiple of that on a machine of its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsualContention {
    mean: f64,
    /// Time for which the contention on a machine stays the same; absent until it is known.
    period: Option<Duration>,
}

/// What is learned from the figures that the upstreams of one service state.
#[derive(Debug, Clone, Default)]
pub struct ContentionModel {
    /// Newest figure of each upstream, and when it was stated.
    newest: HashMap<UpstreamIncarnation, (f64, MonotonicTime)>,
    /// Decayed number of figures, and their sum.
    weight: f64,
    sum: f64,
    /// Pairs of successive figures of the same upstream, by the time between them.
    lags: [LagRange; LAG_RANGES],
    /// Time up to which the weights are decayed.
    decayed_to: MonotonicTime,
    usual: UsualContention,
}

/// Pairs of figures whose time between them is in one range.
#[derive(Debug, Clone, Copy, Default)]
struct LagRange {
    weight: f64,
    /// Sum of the times between them, in seconds.
    lag_s: f64,
    /// Sum of both figures, of their squares, and of the squares of their differences.
    sum: f64,
    squares: f64,
    differences: f64,
}

impl Default for UsualContention {
    fn default() -> Self {
        Self {
            mean: 1.0,
            period: None,
        }
    }
}

impl UsualContention {
    /// The contention of machines with this mean, each of which stays the same for `period`.
    pub fn new(mean: f64, period: Duration) -> Self {
        Self {
            mean,
            period: Some(period),
        }
    }

    /// Mean contention. Estimates of classes contain it, since runs are observed at any contention.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Time for which the contention on a machine stays the same; `None` until it is known.
    pub fn period(&self) -> Option<Duration> {
        self.period
    }

    /// Time for which the present contention on a machine lasts on average.
    pub fn expected_duration(&self) -> Duration {
        self.period.map_or(FRESH_AGE, |period| period / 2)
    }

    /// Expected contention on a machine whose last figure is `age` old.
    ///
    /// A figure is used up to half of the period: from then on, the contention is more likely to have changed than not.
    pub fn expected(&self, figure: f64, age: Duration) -> f64 {
        if age >= self.expected_duration() || !figure.is_finite() || figure <= 0.0 {
            return self.mean;
        }
        let changed = match self.period {
            Some(period) => age.as_secs_f64() / period.as_secs_f64(),
            None => 0.0,
        };
        figure + (self.mean - figure) * changed
    }

    /// Time of work that takes `work_s` at mean contention, when it begins at `contention`; in seconds.
    pub(super) fn contended_time_s(&self, work_s: f64, contention: f64) -> f64 {
        let left_s = self.expected_duration().as_secs_f64();
        let factor = contention / self.mean;
        match work_s * factor <= left_s {
            true => work_s * factor,
            false => left_s + work_s - left_s / factor,
        }
    }
}

impl ContentionModel {
    /// Records that `upstream` stated `figure`; ignored unless it was stated later than the last one.
    pub fn record(
        &mut self,
        upstream: &UpstreamIncarnation,
        figure: f64,
        stated_at: MonotonicTime,
    ) {
        if !figure.is_finite() || figure <= 0.0 {
            return;
        }
        let figure = figure.clamp(FIGURE_BOUNDS.0, FIGURE_BOUNDS.1);
        match self.newest.get_mut(upstream) {
            Some((last, at)) => {
                let lag = stated_at.since(*at);
                if lag < MIN_LAG {
                    return;
                }
                if lag < MAX_LAG {
                    self.lags[range_of(lag)].add(lag, *last, figure);
                }
                (*last, *at) = (figure, stated_at);
            }
            None => {
                self.newest.insert(upstream.clone(), (figure, stated_at));
            }
        }
        self.weight += 1.0;
        self.sum += figure;
        self.update(stated_at);
    }

    /// What is known so far.
    pub fn usual(&self) -> UsualContention {
        self.usual
    }

    /// Reduces the weights of old figures, and computes what follows from all.
    fn update(&mut self, now: MonotonicTime) {
        let age = now.since(self.decayed_to);
        if age < DECAY_STEP {
            return;
        }
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.decayed_to = now;
        self.weight *= factor;
        self.sum *= factor;
        for range in &mut self.lags {
            range.decay(factor);
        }
        self.newest
            .retain(|_, (_, at)| now.since(*at) < NEWEST_LIFETIME);
        self.usual = self.compute();
    }

    fn compute(&self) -> UsualContention {
        if self.weight < MIN_FIGURES {
            return UsualContention::default();
        }
        UsualContention {
            mean: self.sum / self.weight,
            period: self.period(),
        }
    }

    /// The period that explains the changes between successive figures best; `None` without enough pairs within it.
    ///
    /// Two figures of the same machine differ as much as those of two machines once a period is between them: the mean square of
    /// their difference is then twice the variance, and it grows with the time between them up to there.
    fn period(&self) -> Option<Duration> {
        let ranges = self.lags.iter().filter(|range| range.weight > 0.0);
        let changes: Vec<(f64, f64, f64)> = ranges
            .filter_map(|range| Some((range.weight, range.lag_s / range.weight, range.changed()?)))
            .collect();
        let periods =
            (0..PERIODS).map(|step| MIN_LAG.as_secs_f64() * 2.0_f64.powf(f64::from(step) / 4.0));
        let error = |period_s: f64| -> f64 {
            let errors = changes.iter().map(|(weight, lag_s, changed)| {
                weight * (changed - (lag_s / period_s).min(1.0)).powi(2)
            });
            errors.sum()
        };
        let best = periods
            .map(|period_s| (error(period_s), period_s))
            .min_by(|one, other| one.0.total_cmp(&other.0));
        let (_, period_s) = best?;
        let within = changes.iter().filter(|(_, lag_s, _)| *lag_s <= period_s);
        let pairs: f64 = within.map(|(weight, ..)| weight).sum();
        (pairs >= MIN_PAIRS).then(|| Duration::from_secs_f64(period_s))
    }
}

impl LagRange {
    fn add(&mut self, lag: Duration, first: f64, second: f64) {
        self.weight += 1.0;
        self.lag_s += lag.as_secs_f64();
        self.sum += first + second;
        self.squares += first * first + second * second;
        self.differences += (first - second).powi(2);
    }

    fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.lag_s *= factor;
        self.sum *= factor;
        self.squares *= factor;
        self.differences *= factor;
    }

    /// Mean square of the differences as a share of that between figures which have nothing to do with each other; `None` if all
    /// figures are alike.
    ///
    /// It is compared with the variance of the same figures: figures of answers that follow each other closely come from machines with
    /// little contention more often than others do.
    fn changed(&self) -> Option<f64> {
        let figures = 2.0 * self.weight;
        let variance = self.squares / figures - (self.sum / figures).powi(2);
        let is_constant = variance < MIN_DEVIATION.powi(2);
        (!is_constant).then(|| (self.differences / figures / variance).min(1.0))
    }
}

fn range_of(lag: Duration) -> usize {
    let steps = 2.0 * (lag.as_secs_f64() / MIN_LAG.as_secs_f64()).max(1.0).log2();
    (steps as usize).min(LAG_RANGES - 1)
}
