//! Latency that claims and bills add to calls through a fleet of processes, and the appends that they cost.

use std::time::Duration;

use ferry_decisions::names::RequestId;
use ferry_rig::FleetRig;
use futures::future::join_all;
use hyper::Method;
use serde_json::json;
use tokio::time::{Instant, interval};

use crate::letters::{appends, letter_fleet};
use crate::logged_bills::{until_all_live, until_flushed};
use crate::sample::client;

/// Time that the service takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Time within which all routers detect that the log is down.
const OUTAGE_DETECTION_TIME: Duration = Duration::from_secs(4);
/// Appends per second that the default settings allow.
const APPEND_BUDGET: f64 = 200.0;

/// How a call reaches the service.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallMode {
    /// Directly, without a router.
    Direct,
    /// Through a router, with a bill.
    Billed,
    /// Through a router, with a claim and a bill.
    Claimed,
}

/// Address, path and `ferry-idempotent` header of a call; `index` is the router of the calls that take one.
fn target(rig: &FleetRig, mode: CallMode, index: usize) -> (String, &'static str, &'static str) {
    match mode {
        CallMode::Direct => (
            rig.services[0].process.address("listening"),
            "/send",
            "true",
        ),
        CallMode::Billed => (rig.callers(index), "/services/letters/send", "true"),
        CallMode::Claimed => (rig.callers(index), "/services/letters/send", "false"),
    }
}

/// Sends `rate` calls per second regardless of their outcomes; prints their latencies and the append rate.
async fn measure(rig: &FleetRig, label: &str, mode: CallMode, rate: u32) {
    let (caller, mut calls) = (client(), Vec::new());
    let before = appends(rig).await;
    let started = Instant::now();
    let mut ticks = interval(Duration::from_secs(1) / rate);
    while started.elapsed() < LOAD_DURATION {
        let due = ticks.tick().await;
        let (address, path, idempotent) = target(rig, mode, calls.len() % rig.routers.len());
        let caller = caller.clone();
        calls.push(tokio::spawn(async move {
            let id = RequestId::generate().to_string();
            let headers = [
                ("idempotency-key", id.clone()),
                ("x-request-id", id),
                ("ferry-idempotent", idempotent.to_owned()),
            ];
            let answer = caller
                .call(&address, Method::POST, path, &headers, "{}")
                .await;
            (answer.unwrap().0, due.elapsed())
        }));
    }
    let results: Vec<_> = join_all(calls)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    let seconds = started.elapsed().as_secs_f64();
    let appended = (appends(rig).await - before) as f64;
    let answered = results.iter().filter(|(status, _)| *status == 200).count();
    let mut times: Vec<_> = results.iter().map(|(_, time)| *time).collect();
    times.sort_unstable();
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "{label}, {rate}/s: p50 {:?} p99 {:?}, answered {answered} of {}, {:.0} appends/s",
        percentile(50),
        percentile(99),
        times.len(),
        appended / seconds
    );
    assert!(
        appended <= APPEND_BUDGET * (seconds + 1.0),
        "{appended} in {seconds} s"
    );
}

#[tokio::test]
async fn claims_and_bills_stay_within_the_append_budget_at_each_rate() {
    let rig = letter_fleet(4, SERVICE_TIME).await;
    until_all_live(&rig).await;
    for rate in [50, 200] {
        measure(&rig, "direct to the service", CallMode::Direct, rate).await;
        measure(&rig, "bill, log up", CallMode::Billed, rate).await;
        measure(&rig, "claim and bill, log up", CallMode::Claimed, rate).await;
    }
    let outage = json!({ "outage": { "answer": "drop", "path": "/streams" } });
    rig.platform_faults(&outage).await;
    measure(&rig, "bill, start of an outage", CallMode::Billed, 50).await;
    tokio::time::sleep(OUTAGE_DETECTION_TIME).await;
    for rate in [50, 200] {
        measure(&rig, "bill, log out", CallMode::Billed, rate).await;
    }
    measure(&rig, "claim refused, log out", CallMode::Claimed, 50).await;
    rig.platform_heal().await;
    until_flushed(&rig, 0..rig.routers.len()).await;
}
