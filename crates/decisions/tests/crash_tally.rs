//! The fleet's count of crashed upstreams: merging of rows, storage, expiry.

use ferry_decisions::names::WorkspaceName;
use ferry_decisions::quarantine::{CrashRow, CrashTally, RequestFingerprint, RowOrigin};
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::UnixMillis;
use proptest::prelude::*;

/// Time after which a request is no longer held, in milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Number of rows that one message can hold in these tests.
const LIMIT: usize = 1_000;

fn request() -> RequestFingerprint {
    RequestFingerprint::of(&WorkspaceName::new("intake"), "/letters/7", b"")
}

fn upstream(number: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: format!("up-{number}").as_str().into(),
        started_at: Some(UnixMillis(number)),
    }
}

fn tally(router: usize) -> CrashTally {
    CrashTally::new(&format!("entry-{router}/a"))
}

#[derive(Debug, Clone)]
enum Step {
    /// A router sees the request crash an upstream.
    Crash { router: usize, upstream: u64 },
    /// A router sees an answer to the request.
    Answer { router: usize },
    /// A router receives the rows of another one as they are now.
    Send { from: usize, to: usize },
    /// A router restarts and forgets everything.
    Restart { router: usize },
    /// A router stores its rows.
    Store { router: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3usize, 0..6u64).prop_map(|(router, upstream)| Step::Crash { router, upstream }),
        1 => (0..3usize).prop_map(|router| Step::Answer { router }),
        2 => (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Send { from, to }),
        1 => (0..3usize).prop_map(|router| Step::Restart { router }),
        3 => (0..3usize).prop_map(|router| Step::Store { router }),
    ]
}

proptest! {
    /// Whatever was lost, repeated or restarted in between: routers that have read the store agree, and
    /// know every crash that was stored.
    #[test]
    fn routers_that_read_the_store_agree_on_all_stored_crashes(
        steps in prop::collection::vec(step(), 1..40),
        reversed in any::<bool>(),
    ) {
        let now = UnixMillis(RETENTION_MS);
        let mut routers: Vec<CrashTally> = (0..3).map(tally).collect();
        let mut starts = 3;
        let mut store: Vec<CrashRow> = Vec::new();
        let mut stored = std::collections::BTreeSet::new();
        for step in steps {
            match step {
                Step::Crash { router, upstream: number } => {
                    routers[router].record(request(), &upstream(number), now);
                }
                Step::Answer { router } => {
                    routers[router].record_answer(request(), now);
                }
                Step::Send { from, to } => {
                    for row in routers[from].rows(LIMIT) {
                        routers[to].merge(row, RowOrigin::Router, now);
                    }
                }
                Step::Restart { router } => {
                    routers[router] = tally(starts);
                    starts += 1;
                }
                Step::Store { router } => {
                    let rows = routers[router].unstored(LIMIT);
                    for row in &rows {
                        routers[router].mark_stored(row);
                        stored.extend(row.crashed.iter().cloned());
                    }
                    store.extend(rows);
                }
            }
        }
        if reversed {
            store.reverse();
        }
        let mut late = tally(starts);
        for row in store.iter().chain(&store) {
            late.merge(row.clone(), RowOrigin::Store, now);
        }
        prop_assert_eq!(late.crashed(&request()), stored.len());
        prop_assert!(late.unstored(LIMIT).is_empty());
        for router in &mut routers {
            store.extend(router.unstored(LIMIT));
        }
        for router in routers.iter_mut().chain([&mut late]) {
            for row in &store {
                router.merge(row.clone(), RowOrigin::Store, now);
            }
        }
        for router in &routers {
            prop_assert_eq!(router.crashed(&request()), late.crashed(&request()));
        }
    }
}

/// Guards against crashes at one router each that are not added up.
#[test]
fn one_crash_at_each_of_three_routers_quarantines_a_request_on_all() {
    let now = UnixMillis(0);
    let mut routers: Vec<CrashTally> = (0..3).map(tally).collect();
    for (router, number) in routers.iter_mut().zip(0..) {
        let verdict = router.record(request(), &upstream(number), now);
        assert_eq!((verdict.crashed, verdict.quarantined), (1, false));
    }
    let rows: Vec<CrashRow> = routers
        .iter()
        .flat_map(|router| router.rows(LIMIT))
        .collect();
    for router in &mut routers {
        for row in &rows {
            router.merge(row.clone(), RowOrigin::Store, now);
        }
        assert!(router.is_quarantined(&request(), now));
    }
}

/// Two routers that see the same upstream end count one crash.
#[test]
fn an_upstream_that_two_routers_saw_crash_counts_once() {
    let now = UnixMillis(0);
    let (mut one, mut other) = (tally(1), tally(2));
    one.record(request(), &upstream(1), now);
    other.record(request(), &upstream(1), now);
    for row in other.rows(LIMIT) {
        one.merge(row, RowOrigin::Router, now);
    }
    assert_eq!(one.crashed(&request()), 1);
}

/// Answers at all routers count, so that a frequent request is quarantined on none of them.
#[test]
fn answers_at_other_routers_keep_a_frequent_request_out_of_quarantine() {
    let now = UnixMillis(0);
    let (mut one, mut other) = (tally(1), tally(2));
    for _ in 0..12 {
        other.record_answer(request(), now);
    }
    for number in 0..3 {
        one.record(request(), &upstream(number), now);
    }
    assert!(one.is_quarantined(&request(), now));
    for row in one.rows(LIMIT) {
        other.merge(row, RowOrigin::Store, now);
    }
    assert!(!other.is_quarantined(&request(), now));
    for row in other.unstored(LIMIT) {
        one.merge(row, RowOrigin::Store, now);
    }
    assert!(!one.is_quarantined(&request(), now));
}

/// Rows are removed from the store once they are too old to matter, also by a router that only read them.
#[test]
fn expired_rows_are_removed_from_the_store() {
    let mut writer = tally(1);
    writer.record(request(), &upstream(1), UnixMillis(0));
    let row = writer.rows(LIMIT).remove(0);
    writer.mark_stored(&row);
    assert!(writer.expire(UnixMillis(RETENTION_MS - 1)).is_empty());
    let expired = writer.expire(UnixMillis(RETENTION_MS));
    assert_eq!(expired, std::slice::from_ref(&row.key));
    let mut reader = tally(2);
    reader.merge(row.clone(), RowOrigin::Store, UnixMillis(RETENTION_MS));
    assert!(reader.is_empty());
    assert_eq!(reader.expire(UnixMillis(RETENTION_MS)), [row.key]);
}

/// A row from a clock that is ahead does not extend a quarantine.
#[test]
fn a_row_from_the_future_is_quarantined_for_the_usual_time() {
    let mut ahead = tally(1);
    for number in 0..3 {
        ahead.record(request(), &upstream(number), UnixMillis(500_000));
    }
    let mut own = tally(2);
    for row in ahead.rows(LIMIT) {
        own.merge(row, RowOrigin::Store, UnixMillis(0));
    }
    assert!(own.is_quarantined(&request(), UnixMillis(59_999)));
    assert!(!own.is_quarantined(&request(), UnixMillis(60_000)));
}

#[test]
fn upstreams_that_survived_do_not_count_as_crashed_at_any_router() {
    let (mut first, mut second) = (tally(1), tally(2));
    let now = UnixMillis(1_000);
    for number in 0..3 {
        first.record(request(), &upstream(number), now);
    }
    assert!(first.is_quarantined(&request(), now));
    for row in first.rows(LIMIT) {
        second.merge(row, RowOrigin::Router, now);
    }
    assert!(second.is_quarantined(&request(), now));
    assert_eq!(first.record_survival(&upstream(1)), 1);
    assert_eq!(first.record_survival(&upstream(1)), 0);
    for row in first.unstored(LIMIT) {
        second.merge(row, RowOrigin::Router, now);
    }
    for tally in [&first, &second] {
        assert_eq!(tally.crashed(&request()), 2);
        assert!(!tally.is_quarantined(&request(), now));
    }
}

/// Guards against crashes that are forgotten because the store lost their rows when it came back from an older copy.
#[test]
fn rows_that_the_store_lost_are_stored_again() {
    let mut tally = tally(1);
    tally.record(request(), &upstream(1), UnixMillis(1_000));
    let rows = tally.unstored(LIMIT);
    rows.iter().for_each(|row| tally.mark_stored(row));
    assert!(!tally.has_unstored());
    tally.forget_stored();
    assert_eq!(tally.unstored(LIMIT), rows);
}
