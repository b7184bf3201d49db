//! What is known of an upstream's limits when its process ends and another one takes its place.

use std::time::Duration;

use ferry_decisions::limits::{HeardLimit, LimitBook, StatedLimits};
use ferry_decisions::names::ServiceName;
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::{MonotonicTime, UnixMillis};

const SURVIVED: u32 = 3;
const NO_LIMITS: StatedLimits = StatedLimits {
    per_second: None,
    rejections: None,
};
const BRITTLE: StatedLimits = StatedLimits {
    per_second: None,
    rejections: Some(SURVIVED),
};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(0).after(Duration::from_millis(ms))
}

fn upstream(id: &str, started: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id.into(),
        started_at: Some(UnixMillis(started)),
    }
}

fn service() -> ServiceName {
    ServiceName::new("letters")
}

fn record(book: &mut LimitBook, upstream: &UpstreamIncarnation, stated: StatedLimits, ms: u64) {
    let heard = HeardLimit {
        service: Some(service()),
        stated,
        heard_at: at(ms),
    };
    book.record(upstream, heard);
}

fn survived(book: &LimitBook, upstream: &UpstreamIncarnation) -> Option<u32> {
    book.limits(upstream, &service()).rejections
}

#[test]
fn upstreams_that_have_not_answered_since_one_of_their_service_was_brittle_are_taken_for_brittle() {
    let mut book = LimitBook::default();
    record(&mut book, &upstream("up-1", 1), BRITTLE, 100);
    for other in [upstream("up-1", 2), upstream("up-2", 1)] {
        assert_eq!(survived(&book, &other), Some(SURVIVED));
    }
    let of_other_service = book.limits(&upstream("up-3", 1), &ServiceName::new("memos"));
    assert_eq!(of_other_service, NO_LIMITS);
}

#[test]
fn a_service_stays_brittle_when_all_its_upstreams_are_gone() {
    let mut book = LimitBook::default();
    record(&mut book, &upstream("up-1", 1), BRITTLE, 100);
    book.retain(|_| false);
    book.expire(at(59_000));
    assert!(book.has_limits());
    assert_eq!(survived(&book, &upstream("up-9", 7)), Some(SURVIVED));
    book.expire(at(61_000));
    assert!(!book.has_limits());
}

#[test]
fn an_upstream_that_answers_otherwise_is_not_brittle_and_the_last_one_ends_it() {
    let mut book = LimitBook::default();
    let upstreams = [upstream("up-1", 1), upstream("up-2", 1)];
    for upstream in &upstreams {
        record(&mut book, upstream, BRITTLE, 100);
    }
    record(&mut book, &upstreams[0], NO_LIMITS, 200);
    assert_eq!(survived(&book, &upstreams[0]), None);
    assert_eq!(survived(&book, &upstreams[1]), Some(SURVIVED));
    assert_eq!(survived(&book, &upstream("up-3", 1)), Some(SURVIVED));
    record(&mut book, &upstreams[1], NO_LIMITS, 300);
    assert_eq!(survived(&book, &upstream("up-3", 1)), None);
    assert!(!book.has_limits());
}

/// An answer to a request that was sent before the upstreams became brittle does not tell that one is not.
#[test]
fn an_answer_to_an_earlier_request_is_outdated() {
    let mut book = LimitBook::default();
    record(&mut book, &upstream("up-1", 1), BRITTLE, 100);
    let other = upstream("up-2", 1);
    assert!(book.is_outdated(&other, &service(), at(100)));
    assert!(!book.is_outdated(&other, &service(), at(101)));
}

#[test]
fn a_limit_in_requests_per_second_ends_with_its_process() {
    let mut book = LimitBook::default();
    let limited = StatedLimits {
        per_second: Some(2.0),
        rejections: None,
    };
    record(&mut book, &upstream("up-1", 1), limited, 100);
    assert_eq!(book.limits(&upstream("up-1", 1), &service()), limited);
    assert_eq!(book.limits(&upstream("up-1", 2), &service()), NO_LIMITS);
}
