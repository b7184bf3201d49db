//! Reports about permits to routers that answer, and to some that do not.

use std::time::Duration;

use ferry_decisions::limits::{PendingReport, PendingReports};
use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;

/// Time for which the reports are of use.
const USE_TIME: Duration = Duration::from_secs(4);
/// Time after which a message counts as not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after a permit's end by which the router that issued it hears of it once it is reached again.
const RESENT_TIME: Duration = Duration::from_secs(1);
const START: MonotonicTime = MonotonicTime(0);

fn report(number: u32) -> PendingReport<u32> {
    PendingReport {
        report: number,
        recorded_at: START,
        until: START.after(USE_TIME),
    }
}

fn host(number: usize) -> HostName {
    format!("entry-{number}").as_str().into()
}

/// Load pattern: requests end at a steady rate while one of the issuers of their permits is suspended.
#[test]
fn a_router_that_does_not_answer_holds_back_no_reports_to_others() {
    let mut pending = PendingReports::default();
    pending.push(&host(0), report(0));
    assert_eq!(pending.take_due(START).len(), 1);
    for number in 1..10 {
        pending.push(&host(0), report(number));
        pending.push(&host(1), report(number));
        assert_eq!(pending.take_due(START), [(host(1), vec![report(number)])]);
        pending.record_answer(&host(1));
    }
    pending.record_answer(&host(0));
    let due = pending.take_due(START);
    assert_eq!(due, [(host(0), (1..10).map(report).collect())]);
}

/// A message that is answered leaves nothing behind.
#[test]
fn reports_of_an_answered_message_are_sent_once() {
    let mut pending = PendingReports::default();
    pending.push(&host(0), report(0));
    pending.push(&host(0), report(1));
    let due = pending.take_due(START);
    assert_eq!(due, [(host(0), vec![report(0), report(1)])]);
    pending.record_answer(&host(0));
    assert!(pending.take_due(START.after(USE_TIME)).is_empty());
    assert_eq!(pending.rest_left(START), None);
}

/// Load pattern: the issuer of a permit is not reached for a time, and each message is given up after a while.
#[test]
fn reports_reach_a_router_that_is_reached_again_while_they_are_of_use() {
    let mut pending = PendingReports::default();
    pending.push(&host(0), report(0));
    let mut now = START;
    let back_at = START.after(Duration::from_millis(1_500));
    loop {
        let due = pending.take_due(now);
        if let Some((issuer, sent)) = due.into_iter().next() {
            if now >= back_at {
                assert_eq!(sent, [report(0)]);
                break;
            }
            now = now.after(ANSWER_TIMEOUT);
            pending.record_silence(&issuer, sent, now);
        }
        now = now.after(pending.rest_left(now).unwrap());
    }
    assert!(now.since(back_at) < RESENT_TIME, "{now:?}");
}

#[test]
fn reports_are_not_kept_for_a_router_that_is_gone() {
    let mut pending = PendingReports::default();
    pending.push(&host(0), report(0));
    let sent = pending.take_due(START).remove(0).1;
    let late = START.after(USE_TIME);
    pending.record_silence(&host(0), sent, late);
    assert_eq!(pending.rest_left(late), None);
    assert!(pending.take_due(late.after(USE_TIME)).is_empty());
}
