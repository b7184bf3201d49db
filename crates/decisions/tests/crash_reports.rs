//! Which rows of crashes a router passes on: those that matter to the other one, once.
//!
//! Load pattern: many upstreams end together, and each of hundreds of requests in flight there may be the cause.

use ferry_decisions::names::{HostName, WorkspaceName};
use ferry_decisions::quarantine::{
    CrashRow, CrashSubject, CrashTally, ReportedRows, RequestFingerprint, RowOrigin,
};
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::UnixMillis;

const NOW: UnixMillis = UnixMillis(1_000_000);
/// Requests in flight when the upstreams end.
const INNOCENTS: u64 = 500;
/// Number of rows in one message.
const LIMIT: usize = 16;

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint::of(
        &WorkspaceName::new("intake"),
        &format!("/letters/{number}"),
        b"",
    )
}

fn upstream(number: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: format!("up-{number}").as_str().into(),
        started_at: Some(UnixMillis(number)),
    }
}

/// A tally in which each of [`INNOCENTS`] requests met one crash.
fn after_mass_failure() -> CrashTally {
    let mut tally = CrashTally::new("entry-1/a");
    for number in 0..INNOCENTS {
        tally.record(request(number), &upstream(number % 10), NOW);
    }
    tally
}

fn store_all(tally: &mut CrashTally) {
    for row in tally.unstored(usize::MAX) {
        tally.mark_stored(&row);
    }
}

fn subjects(rows: &[CrashRow]) -> Vec<CrashSubject> {
    rows.iter().map(|row| row.key.subject).collect()
}

#[test]
fn requests_that_met_one_crash_are_passed_on_to_no_router_that_syncs() {
    let mut tally = after_mass_failure();
    store_all(&mut tally);
    let all = tally.rows(usize::MAX);
    let all = all.iter().map(|row| row.key.subject).collect();
    assert!(tally.near_rows_of(&all).is_empty());
    assert!(tally.near_rows(usize::MAX).is_empty());
}

#[test]
fn all_rows_of_a_request_are_passed_on_once_the_fleet_knows_its_second_crash() {
    let mut tally = after_mass_failure();
    store_all(&mut tally);
    let mut other = CrashTally::new("entry-2/a");
    other.record(request(7), &upstream(99), NOW);
    let row = other.rows(LIMIT).remove(0);
    tally.merge(row.clone(), RowOrigin::Router, NOW);
    let subject = CrashSubject::Request(request(7));
    let only = [subject].into();
    // Not in the store yet, so that it may still be lost.
    assert_eq!(tally.near_rows_of(&only).len(), 1);
    tally.mark_stored(&row);
    assert_eq!(subjects(&tally.near_rows_of(&only)), vec![subject, subject]);
    assert_eq!(subjects(&tally.near_rows(LIMIT)), vec![subject, subject]);
}

#[test]
fn a_router_gets_each_version_of_a_row_once_and_again_after_its_restart() {
    let mut tally = after_mass_failure();
    let source = HostName::new("entry-0");
    let mut reported = ReportedRows::default();
    reported.record_incarnation(&source, "first");
    let mut sent = 0;
    loop {
        let rows = tally.unreported(&source, &reported, LIMIT);
        if rows.is_empty() {
            break;
        }
        sent += rows.len();
        reported.add(&source, &rows);
    }
    assert_eq!(sent, INNOCENTS as usize);

    tally.record(request(3), &upstream(77), NOW);
    let rows = tally.unreported(&source, &reported, LIMIT);
    assert_eq!(subjects(&rows), [CrashSubject::Request(request(3))]);
    reported.add(&source, &rows);
    assert!(tally.unreported(&source, &reported, LIMIT).is_empty());
    let other = HostName::new("entry-9");
    assert_eq!(tally.unreported(&other, &reported, LIMIT).len(), LIMIT);

    reported.record_incarnation(&source, "second");
    assert_eq!(tally.unreported(&source, &reported, LIMIT).len(), LIMIT);
}

#[test]
fn the_rows_that_matter_come_first_where_not_all_fit_into_a_message() {
    let mut tally = after_mass_failure();
    let culprit = request(INNOCENTS);
    tally.record(culprit, &upstream(1), NOW);
    tally.record(culprit, &upstream(2), NOW);
    let later = UnixMillis(NOW.0 + 1);
    let latest = request(INNOCENTS + 1);
    tally.record(latest, &upstream(3), later);
    let first = subjects(&tally.unstored(2));
    assert_eq!(
        first,
        [culprit, latest].map(CrashSubject::Request),
        "of {INNOCENTS} rows"
    );
}

/// Guards against news of a row that is passed on to no router, since an answer came while the row was being stored.
#[test]
fn news_of_a_row_is_passed_on_although_the_row_grew_while_it_was_stored() {
    let mut tally = CrashTally::new("entry-1/a");
    let culprit = request(1);
    for number in 0..2 {
        tally.record(culprit, &upstream(number), NOW);
    }
    let appended = tally.unstored(LIMIT);
    tally.record_answer(culprit, NOW);
    for row in &appended {
        tally.mark_stored(row);
    }
    let only = [CrashSubject::Request(culprit)].into();
    assert_eq!(tally.near_rows_of(&only).len(), appended.len());
    assert_eq!(tally.near_rows(LIMIT).len(), appended.len());
}

/// Guards against a request that stays quarantined at the routers that sync, since its crashes were taken back at their source only.
#[test]
fn a_crash_that_is_taken_back_is_passed_on_to_the_routers_that_know_it() {
    let mut tally = CrashTally::new("entry-1/a");
    let culprit = request(1);
    for number in 0..3 {
        tally.record(culprit, &upstream(number), NOW);
    }
    store_all(&mut tally);
    let only = [CrashSubject::Request(culprit)].into();
    let mut follower = CrashTally::new("entry-2/a");
    for row in tally.near_rows_of(&only) {
        follower.merge(row, RowOrigin::Store, NOW);
    }
    assert!(follower.is_quarantined(&culprit, NOW));
    for number in 0..3 {
        tally.record_survival(&upstream(number));
    }
    store_all(&mut tally);
    for row in tally.near_rows_of(&only) {
        follower.merge(row, RowOrigin::Store, NOW);
    }
    assert!(!follower.is_quarantined(&culprit, NOW));
}
