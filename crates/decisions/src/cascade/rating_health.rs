//! State of the rating service as a router sees it.

closed_set! {
    /// Whether ratings can decide about answers that a caller waits for.
    pub enum RatingHealth {
        /// Ratings come in time.
        Live,
        /// Ratings come, but too late to wait for them.
        Late,
        /// Ratings do not come.
        Down,
    }
}

/// Weight of the newest rating in the averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Share of missing ratings from which on the service counts as down.
const DOWN_SHARE: f64 = 0.5;

/// Moving averages over the ratings that a router asked for.
///
/// Every answer is rated in the background, also while ratings decide nothing, so the
/// averages recover with the service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RatingMonitor {
    delay_ms: f64,
    missing_share: f64,
}

impl RatingMonitor {
    /// Takes in a rating that came after `delay_ms` milliseconds.
    pub fn record_rating(&mut self, delay_ms: u64) {
        self.delay_ms += NEWEST_WEIGHT * (delay_ms as f64 - self.delay_ms);
        self.missing_share -= NEWEST_WEIGHT * self.missing_share;
    }

    /// Takes in a rating that failed or was given up.
    pub fn record_missing(&mut self) {
        self.missing_share += NEWEST_WEIGHT * (1.0 - self.missing_share);
    }

    /// Average delay of the ratings that came, in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.delay_ms as u64
    }

    /// Health when a caller's answer may wait `longest_wait_ms` milliseconds for its rating.
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
