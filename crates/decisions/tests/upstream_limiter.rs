//! The permits that one router issues for an upstream with a limit.

use std::time::Duration;

use ferry_decisions::limits::UpstreamLimiter;
use ferry_decisions::time::MonotonicTime;
use proptest::prelude::*;

/// Span in which the bound on an upstream's requests is counted.
const WINDOW: Duration = Duration::from_secs(4);

fn most_in_window(permits: &[MonotonicTime]) -> usize {
    let in_window = |begin: &MonotonicTime| {
        let end = begin.after(WINDOW);
        permits
            .iter()
            .filter(|at| (*begin..end).contains(at))
            .count()
    };
    permits.iter().map(in_window).max().unwrap_or_default()
}

proptest! {
    /// Whatever the pattern of the asks, and however often the bucket is replaced by another router's.
    #[test]
    fn no_window_has_more_permits_than_the_bound(
        rate in 0.0_f64..40.0,
        pauses_ms in prop::collection::vec(0_u64..400, 1..600),
        replaced in prop::collection::vec(0_usize..600, 0..3),
    ) {
        let mut now = MonotonicTime(0);
        let mut limiter = UpstreamLimiter::new(rate, now);
        let mut permits = Vec::new();
        for (number, pause) in pauses_ms.into_iter().enumerate() {
            now = now.after(Duration::from_millis(pause));
            if replaced.contains(&number) {
                limiter = UpstreamLimiter::new(rate, now);
            }
            if limiter.take(now).is_ok() {
                permits.push(now);
            }
        }
        let bound = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
        prop_assert!(most_in_window(&permits) as f64 <= bound);
    }
}

#[test]
fn those_that_ask_again_when_told_get_all_permits() {
    let rate = 2.0;
    let mut limiter = UpstreamLimiter::new(rate, MonotonicTime(0));
    let mut due = [MonotonicTime(0); 40];
    let (mut permits, mut asks) = (0, 0);
    for millis in 0..20_000 {
        let now = MonotonicTime(0).after(Duration::from_millis(millis));
        for asker in &mut due {
            if *asker > now {
                continue;
            }
            asks += 1;
            match limiter.take(now) {
                Ok(()) => {
                    permits += 1;
                    *asker = now;
                }
                Err(wait) => *asker = now.after(wait),
            }
        }
    }
    assert!(permits >= 34, "{permits} permits of 40");
    assert!(asks <= 40 * 20, "{asks} asks");
}
