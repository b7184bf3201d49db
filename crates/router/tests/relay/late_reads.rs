//! A router whose event loop is behind: what it promised its callers counts from the arrival of a request, not from its reading.
//!
//! Load pattern: requests arrive while the router does other work for a while, and are read all at once afterwards.

use std::time::Duration;

use ferry_decisions::ruleset::{RouteRule, RunKind};
use hyper::StatusCode;
use tokio::time::Instant;

use crate::blocked_router::BlockedRouter;
use crate::deployment::{call, request, rule};

/// Time that the rule gives each request.
const RULE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after that in which callers must have their answer: half a second is allowed, which the network needs a part of.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(250);

async fn start_router(run: RunKind, run_time: Duration) -> BlockedRouter {
    let rule = RouteRule {
        timeout: RULE_TIMEOUT,
        ..rule("/letters/", run)
    };
    BlockedRouter::start(&[rule], run_time).await
}

/// Sends a request while the router does nothing for `blocked`; returns the status and the time that the caller waited.
async fn call_while_blocked(router: &BlockedRouter, blocked: Duration) -> (StatusCode, Duration) {
    router.block(blocked).await;
    let sent_at = Instant::now();
    let response = call(request(&router.relay, "/letters/7", "a-1")).await;
    (response.status, sent_at.elapsed())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_is_over_when_it_is_read_is_rejected_and_not_sent() {
    for run in [RunKind::Once, RunKind::Idempotent] {
        let router = start_router(run, Duration::ZERO).await;
        let (status, _) = call_while_blocked(&router, RULE_TIMEOUT * 2).await;
        assert_eq!(router.replica.runs().len(), 0, "{run:?}: {status}");
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{run:?}");
        router.stop();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_read_late_is_answered_in_the_time_that_counts_from_its_arrival() {
    let router = start_router(RunKind::Once, RULE_TIMEOUT).await;
    let (status, took) = call_while_blocked(&router, RULE_TIMEOUT * 3 / 4).await;
    assert!(
        took <= RULE_TIMEOUT + ANSWER_TOLERANCE,
        "{status} after {took:?}"
    );
    let runs = router.replica.runs();
    let given: Vec<_> = runs
        .iter()
        .filter_map(|run| run.request.time_left)
        .collect();
    let most = RULE_TIMEOUT / 4 + Duration::from_millis(60);
    assert!(given.iter().all(|given| *given <= most), "{given:?}");
    router.stop();
}
