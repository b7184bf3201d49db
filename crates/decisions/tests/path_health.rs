//! Tests of the belief about a path.

use std::time::Duration;

use ferry_decisions::paths::{PathHealth, ProbeBudget};
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

/// Load pattern: half of several hundred upstreams are gone, and each router has lost all paths to them.
#[test]
fn a_router_makes_as_many_probes_for_many_lost_paths_as_for_few() {
    for lost in [100, 10_000] {
        let mut budget = ProbeBudget::new(at(0));
        let probes: usize = (0..10_000)
            .step_by(10)
            .map(|ms| budget.take(lost, at(ms)))
            .sum();
        assert!((180..=200).contains(&probes), "{probes} probes in 10 s");
    }
}

#[test]
fn the_next_probe_can_be_taken_after_the_stated_wait() {
    let mut budget = ProbeBudget::new(at(0));
    assert_eq!(budget.take(1_000, at(0)), 32);
    assert_eq!(budget.take(1, at(0)), 0);
    let wait = budget.wait(at(0));
    assert_eq!(budget.take(1, at(0).after(wait)), 1);
}
