//! Rates answers in the background.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::guard::AnswerOutcome;
use ferry_platform::ratings::RatingRequest;

use super::ServedRequest;
use crate::core::RouterCore;

/// Timeout of one call to the rating service.
const RATING_TIMEOUT: Duration = Duration::from_secs(30);
/// Lowest score that counts as good.
const GOOD_SCORE: f64 = 0.5;

/// Rates the answer to `served` in the background; the rating is skipped when too many are pending.
pub fn rate(core: &Arc<RouterCore>, mut served: ServedRequest, request: RatingRequest) {
    served.set_outcome(AnswerOutcome::GivenUp);
    let Ok(permit) = Arc::clone(&core.guard.rating_permits).try_acquire_owned() else {
        metrics::counter!("ferry_guard_ratings_skipped_total").increment(1);
        return;
    };
    let shared = Arc::clone(core);
    core.spawn(async move {
        let rating = shared.ratings.rate(&request, RATING_TIMEOUT).await;
        drop(permit);
        record_rating(&shared, served, rating.ok().map(|rating| rating.score));
    });
}

/// Records the rating of the answer to `served`; `None` when the rating service gave none.
pub fn record_rating(core: &RouterCore, mut served: ServedRequest, score: Option<f64>) {
    served.set_outcome(match score {
        Some(score) if score >= GOOD_SCORE => AnswerOutcome::Good,
        Some(_) => AnswerOutcome::Bad,
        None => AnswerOutcome::GivenUp,
    });
    drop(served);
    core.guard.evaluate(&core.config.view());
}
