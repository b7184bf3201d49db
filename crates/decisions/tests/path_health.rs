//! Tests of the belief about a path.

use std::time::Duration;

use ferry_decisions::paths::PathHealth;
use ferry_decisions::time::MonotonicTime;
use proptest::prelude::*;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(0).after(Duration::from_millis(ms))
}

#[test]
fn a_lost_path_is_probed_at_growing_delays_and_works_again_after_a_success() {
    let mut path = PathHealth::default();
    assert!(!path.is_lost());
    assert!(path.record_failure(at(0)));
    assert_eq!(path.next_probe(), Some(at(100)));
    assert!(!path.record_failure(at(100)));
    assert_eq!(path.next_probe(), Some(at(300)));
    assert!(path.record_success(at(300)));
    assert!(!path.is_lost());
    assert_eq!(path.next_probe(), None);
    assert!(path.was_heard_within(Duration::from_millis(50), at(350)));
    assert!(!path.was_heard_within(Duration::from_millis(50), at(351)));
}

proptest! {
    #[test]
    fn a_lost_path_is_probed_within_a_second(failures in prop::collection::vec(0u64..500, 1..20)) {
        let mut path = PathHealth::default();
        let mut now = 0;
        for pause in failures {
            now += pause;
            path.record_failure(at(now));
            let probe = path.next_probe().expect("a lost path has a probe");
            prop_assert!(probe.since(at(now)) <= Duration::from_secs(1));
            prop_assert!(probe > at(now));
        }
    }
}
