//! State of the rating service as observed by a router.

closed_set! {
    /// Whether ratings arrive soon enough to decide on answers that a caller waits for.
    pub enum RatingHealth {
        /// Ratings arrive in time.
        Live,
        /// Ratings arrive, but too late to wait for them.
        Late,
        /// Ratings do not arrive.
        Down,
    }
}

/// Weight of the latest rating in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Share of missing ratings at which the service counts as down.
const DOWN_SHARE: f64 = 0.5;

/// Moving averages over the ratings that a router requested.
///
/// Answers are rated in the background even while ratings are not used for decisions, so that the
/// averages recover together with the service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RatingMonitor {
    delay_ms: f64,
    missing_share: f64,
}

impl RatingMonitor {
    /// Records a rating that arrived after `delay_ms` milliseconds.
    pub fn record_rating(&mut self, delay_ms: u64) {
        self.delay_ms += NEWEST_WEIGHT * (delay_ms as f64 - self.delay_ms);
        self.missing_share -= NEWEST_WEIGHT * self.missing_share;
    }

    /// Records a rating that failed or was abandoned.
    pub fn record_missing(&mut self) {
        self.missing_share += NEWEST_WEIGHT * (1.0 - self.missing_share);
    }

    /// Average delay of the ratings that arrived, in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.delay_ms as u64
    }

    /// Health if an answer may wait `longest_wait_ms` milliseconds for its rating.
    pub fn health(&self, longest_wait_ms: u64) -> RatingHealth {
        if self.missing_share >= DOWN_SHARE {
            RatingHealth::Down
        } else if self.delay_ms > longest_wait_ms as f64 {
            RatingHealth::Late
        } else {
            RatingHealth::Live
        }
    }
}
