//! Time that claims and bills add to calls through real processes, and the appends that they take.

use std::time::Duration;

use ferry_decisions::names::RequestId;
use ferry_rig::FleetRig;
use futures::future::join_all;
use hyper::Method;
use serde_json::json;
use tokio::time::{Instant, interval};

use crate::letters::{appends, letter_fleet};
use crate::logged_bills::{until_flushed, until_linked};
use crate::sample::client;

const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Length of each load.
const LOAD: Duration = Duration::from_secs(4);
/// Time in which routers notice that the log is out.
const NOTICE: Duration = Duration::from_secs(4);
/// Appends a second that the default settings allow.
const APPEND_BUDGET: f64 = 200.0;

/// Way that a call takes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallWay {
    /// Straight to the service.
    Direct,
    /// Through a router, with a bill.
    Billed,
    /// Through a router, with a claim and a bill.
    Claimed,
}

/// Address, path and further headers of a call through router `index`.
fn target(rig: &FleetRig, way: CallWay, index: usize) -> (String, &'static str, &'static str) {
    match way {
        CallWay::Direct => (
            rig.services[0].process.address("listening"),
            "/send",
            "true",
        ),
        CallWay::Billed => (rig.callers(index), "/services/letters/send", "true"),
        CallWay::Claimed => (rig.callers(index), "/services/letters/send", "false"),
    }
}

/// Sends `rate` calls a second, whatever comes of them; prints their times and the appends.
async fn measure(rig: &FleetRig, what: &str, way: CallWay, rate: u32) {
    let (caller, mut calls) = (client(), Vec::new());
    let before = appends(rig).await;
    let started = Instant::now();
    let mut ticks = interval(Duration::from_secs(1) / rate);
    while started.elapsed() < LOAD {
        let due = ticks.tick().await;
        let (address, path, idempotent) = target(rig, way, calls.len() % rig.routers.len());
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
    let at = |hundredth: usize| times[(times.len() - 1) * hundredth / 100];
    println!(
        "{what}, {rate}/s: p50 {:?} p99 {:?}, answered {answered} of {}, {:.0} appends/s",
        at(50),
        at(99),
        times.len(),
        appended / seconds
    );
    assert!(
        appended <= APPEND_BUDGET * (seconds + 1.0),
        "{appended} in {seconds} s"
    );
}

#[tokio::test]
async fn claims_and_bills_stay_within_the_budget_at_each_rate() {
    let rig = letter_fleet(4, SERVICE_TIME).await;
    until_linked(&rig).await;
    for rate in [50, 200] {
        measure(&rig, "straight to the service", CallWay::Direct, rate).await;
        measure(&rig, "bill, log up", CallWay::Billed, rate).await;
        measure(&rig, "claim and bill, log up", CallWay::Claimed, rate).await;
    }
    let outage = json!({ "outage": { "answer": "drop", "path": "/streams" } });
    rig.platform_faults(&outage).await;
    measure(&rig, "bill, start of an outage", CallWay::Billed, 50).await;
    tokio::time::sleep(NOTICE).await;
    for rate in [50, 200] {
        measure(&rig, "bill, log out", CallWay::Billed, rate).await;
    }
    measure(&rig, "claim refused, log out", CallWay::Claimed, 50).await;
    rig.platform_heal().await;
    until_flushed(&rig, 0..rig.routers.len()).await;
}
