//! Tests of how long one peer that sends without end keeps a process from everything else, in a process of their own.

#[allow(dead_code, unused_imports)] // Shared with the other tests of relays, which use the rest.
#[path = "../relay/deployment.rs"]
mod deployment;
mod flood;
mod loop_watch;
#[allow(dead_code)]
#[path = "../relay/raw_replica.rs"]
mod raw_replica;
mod router_flood;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{HttpClient, HttpError, HttpRequest};
use hyper::StatusCode;
use tokio::time::sleep;

use crate::deployment::{Deployment, call, request, rule};
use crate::flood::{FloodKind, flood_caller, flood_server};
use crate::loop_watch::LoopWatch;
use crate::raw_replica::register_raw;
use crate::router_flood::{flood_router, reading_router};

/// Longest time for which one peer may keep the loop busy.
const LAG_BOUND: Duration = Duration::from_millis(50);
/// Timeout of a call to a server that sends without end.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests in a test.
const REQUEST_COUNT: usize = 20;

async fn assert_gives_way(watch: LoopWatch) {
    let lag = watch.longest().await;
    assert!(lag < LAG_BOUND, "the loop was kept for {lag:?}");
}

/// Guards against a replica whose interim heads without end stop the whole relay (CONFIG), or keep its caller waiting.
#[tokio::test]
async fn interim_heads_without_end_are_cut_off_and_give_way() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    for id in ["flood-1", "flood-2"] {
        register_raw(&deployment, id, flood_server(FloodKind::InterimHeads));
    }
    let _sound = deployment.replica("up-1", "v1").await;
    let relay = deployment.relay().await;
    let watch = LoopWatch::start();
    for number in 0..REQUEST_COUNT {
        let (path, id) = (format!("/letters/{number}"), format!("a-{number}"));
        let answer = call(request(&relay, &path, &id)).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_gives_way(watch).await;
}

/// Guards against interim heads without end from a server that is called with a pooled client: the store, an engine, another router's feed.
#[tokio::test]
async fn interim_heads_without_end_end_with_the_time_of_a_call() {
    assert_ends_in_time(FloodKind::InterimHeads).await;
}

/// Guards against an answer whose small pieces without end keep the loop, as of the store or of an engine.
#[tokio::test]
async fn small_pieces_without_end_end_with_the_time_of_a_call() {
    assert_ends_in_time(FloodKind::SmallPieces).await;
}

/// Guards against another router whose small messages without end keep the loop.
#[tokio::test]
async fn messages_without_end_of_another_router_give_way() {
    let router = reading_router().await;
    flood_router(router.address());
    sleep(CALL_TIMEOUT).await;
    let watch = LoopWatch::start();
    sleep(CALL_TIMEOUT).await;
    assert_gives_way(watch).await;
}

async fn assert_ends_in_time(kind: FloodKind) {
    let url = format!("http://{}/", flood_server(kind));
    let watch = LoopWatch::start();
    let client = HttpClient::default();
    let result = client.fetch(HttpRequest::get(&url), CALL_TIMEOUT).await;
    assert!(
        matches!(result, Err(HttpError::Timeout { .. })),
        "{result:?}"
    );
    assert_gives_way(watch).await;
}

/// Guards against callers whose small pieces without end keep a relay from all others.
#[tokio::test]
async fn callers_without_end_give_way() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let _sound = deployment.replica("up-1", "v1").await;
    let relay = deployment.relay().await;
    let address: SocketAddr = relay.callers_address();
    let watch = LoopWatch::start();
    flood_caller(address, &request(&relay, "/letters/1", "flood"));
    sleep(CALL_TIMEOUT).await;
    let answer = call(request(&relay, "/letters/2", "sound")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_gives_way(watch).await;
}
