//! Upstreams that send bytes without end, in the head or the body of an answer.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use hyper::StatusCode;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::deployment::{Deployment, call, request, rule};
use crate::raw_replica::{EndlessPart, start_endless_replica};

/// Half of the memory of a host, in bytes: what the answers of all upstreams together may take.
const MEMORY_BYTES: usize = 130 * 1024 * 1024;
/// Size of a page of memory, in bytes.
const PAGE_BYTES: usize = 4_096;
/// Held by the test whose memory is measured.
static MEASURED: Mutex<()> = Mutex::const_new(());
/// Number of requests at the same time.
const CALL_COUNT: usize = 64;
/// Time within which each caller must have its answer; its deadline is later.
const ANSWER_TIME: Duration = Duration::from_secs(6);

async fn assert_is_cut_off(part: EndlessPart, run: RunKind) {
    let _turn = MEASURED.lock().await;
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/endless/", run)]);
    start_endless_replica(&deployment, "up-1", part).await;
    let relay = Arc::new(deployment.relay().await);
    let start = Instant::now();
    let before = resident_bytes();
    let peak = tokio::spawn(peak_resident_bytes());
    let calls = (0..CALL_COUNT).map(|number| {
        let relay = Arc::clone(&relay);
        tokio::spawn(async move {
            let path = format!("/endless/{number}");
            call(request(&relay, &path, &format!("a-{number}"))).await
        })
    });
    for answer in calls.collect::<Vec<_>>() {
        let answer = answer.await.unwrap();
        assert!(!answer.status.is_success() || answer.body.is_none());
    }
    let took = start.elapsed();
    assert!(took < ANSWER_TIME, "{part:?}: answered after {took:?}");
    let taken = peak.await.unwrap().saturating_sub(before);
    assert!(taken < MEMORY_BYTES, "{part:?}: {taken} bytes were taken");

    deployment.replica("up-2", "v1").await;
    let mut served = false;
    for number in 0..50 {
        let id = format!("sound-{number}");
        let answer = call(request(&relay, &format!("/endless/{id}"), &id)).await;
        served |= answer.status == StatusCode::OK && answer.body.is_some();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served, "the router serves no other upstream");
}

/// Largest resident memory of this process in the first seconds.
async fn peak_resident_bytes() -> usize {
    let mut peak = 0;
    for _ in 0..400 {
        peak = peak.max(resident_bytes());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    peak
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_are_cut_off() {
    assert_is_cut_off(EndlessPart::Head, RunKind::Once).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_without_end_are_cut_off() {
    assert_is_cut_off(EndlessPart::Body, RunKind::Once).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn events_without_end_are_cut_off() {
    assert_is_cut_off(EndlessPart::Body, RunKind::Stream).await;
}
