//! Tests of the permits for upstreams that break down when they have to reject many requests.

use std::time::Duration;

use ferry_decisions::limits::RejectionGuard;
use ferry_decisions::time::MonotonicTime;
use proptest::prelude::*;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(0).after(Duration::from_millis(ms))
}

#[test]
fn permits_are_unlimited_until_the_first_rejection() {
    let mut guard = RejectionGuard::default();
    for ms in 0..500 {
        assert_eq!(guard.take(4, at(ms)), Ok(()));
    }
}

proptest! {
    /// Whatever part of the requests the upstream rejects: it rejects no more in a second than it survives.
    #[test]
    fn no_second_has_more_rejections_than_the_upstream_survives(
        survived in 1u32..20,
        outcomes in prop::collection::vec(any::<bool>(), 400),
        pause in 1u64..60,
    ) {
        let mut guard = RejectionGuard::default();
        let mut rejected: Vec<u64> = Vec::new();
        let mut now = 0;
        for rejects in outcomes {
            now += pause;
            if guard.take(survived, at(now)).is_ok() && rejects {
                guard.record_rejection(at(now));
                rejected.push(now);
            }
        }
        for begin in &rejected {
            let span = *begin..*begin + 1_000;
            let count = rejected.iter().filter(|at| span.contains(at)).count();
            prop_assert!(count <= survived as usize, "{} rejections", count);
        }
    }

    /// An upstream that always has room gets its requests again.
    #[test]
    fn permits_are_unlimited_again_after_a_calm_time(rejections in 1usize..10) {
        let mut guard = RejectionGuard::default();
        for number in 0..rejections {
            guard.record_rejection(at(number as u64));
        }
        for ms in 11_000..11_500 {
            prop_assert_eq!(guard.take(4, at(ms)), Ok(()));
        }
    }
}
