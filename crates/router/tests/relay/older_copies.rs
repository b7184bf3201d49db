//! A store that comes back from an older copy, in a new era: its offsets go back and are given out again.
//!
//! Load pattern: several configurations follow one another, and the store loses the last of them a moment later.

use std::time::Duration;

use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::{KeyHolder, RouteRule, RunKind};
use ferry_platform::headers::CallerHeaders;
use ferry_router::relay::RelayDaemon;
use ferry_standin::ReplicaStandin;
use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use crate::deployment::{
    Deployment, KEY, WORKSPACE, call, eventually, request, request_with, rule,
};

/// Key that is taken away.
const TAKEN_KEY: &str = "key-2";
/// Time within which a key that was taken away must open no request, as in the deployment's bounds.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Time for which nothing happens after the store came back.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Topic of the routers' entries, and the key of their secret.
const ROUTER_TOPIC: &str = "keyed.routers";
const SECRET_KEY: &str = "secret";

fn rules() -> [RouteRule; 1] {
    [rule("/letters/", RunKind::Idempotent)]
}

fn configure(deployment: &Deployment, revision: u64, keys: &[&str]) {
    let holder = || KeyHolder {
        workspace: WORKSPACE.into(),
        priority: None,
    };
    let keys: Vec<_> = keys.iter().map(|key| (*key, holder())).collect();
    deployment.configure_keys(revision, &rules(), &keys);
}

/// Starts two relays in one zone, one of which syncs from the other, and one in another zone.
async fn start_relays(deployment: &Deployment) -> Vec<RelayDaemon> {
    vec![
        deployment.relay_in("entry-1", "zone-a").await,
        deployment.relay_in("entry-2", "zone-a").await,
        deployment.relay_in("entry-3", "zone-b").await,
    ]
}

async fn status_with_key(relay: &RelayDaemon, key: &str) -> StatusCode {
    let headers = CallerHeaders {
        attempt_id: "a",
        key: Some(key),
        ..CallerHeaders::default()
    };
    call(request_with(relay, "/letters/7", &headers))
        .await
        .status
}

/// Takes the key away, and checks that no relay lets it open a request once the bound has passed.
async fn assert_key_is_taken_away(deployment: &Deployment, relays: &[RelayDaemon], revision: u64) {
    configure(deployment, revision, &[KEY]);
    let written_at = Instant::now();
    sleep(REVOCATION_BOUND).await;
    for relay in relays {
        let status = status_with_key(relay, TAKEN_KEY).await;
        let age = written_at.elapsed();
        assert_eq!(
            status,
            StatusCode::UNAUTHORIZED,
            "{age:?} after revision {revision}"
        );
        assert_eq!(status_with_key(relay, KEY).await, StatusCode::OK);
    }
}

/// Starts a deployment whose store loses its last configurations; returns it after the operator and the upstreams wrote again.
async fn start_after_loss(lost: u64) -> (Deployment, Vec<RelayDaemon>, ReplicaStandin) {
    let deployment = Deployment::start().await;
    configure(&deployment, 10, &[KEY, TAKEN_KEY]);
    let replica = deployment.replica("up-1", "v1").await;
    let relays = start_relays(&deployment).await;
    let copy = deployment.store.copy();
    for number in 1..=lost {
        configure(&deployment, 10 + number, &[KEY, TAKEN_KEY]);
    }
    sleep(Duration::from_millis(700)).await;
    deployment.store.come_back_from(copy);
    configure(&deployment, 10 + lost, &[KEY, TAKEN_KEY]);
    replica.register(&deployment.store, UpstreamStage::Ready, 2);
    (deployment, relays, replica)
}

/// Guards against keys that were taken away and open requests (CONFIG): the routers waited at an offset that the topic no longer had.
#[tokio::test]
async fn a_key_is_taken_away_after_the_store_came_back_from_an_older_copy() {
    let (deployment, relays, _replica) = start_after_loss(6).await;
    sleep(CALM_TIME).await;
    assert_key_is_taken_away(&deployment, &relays, 21).await;
}

/// The same if the offsets at which the routers wait exist again when they read on, and after a second loss.
#[tokio::test]
async fn a_key_is_taken_away_at_an_offset_that_was_given_out_again() {
    let (deployment, relays, replica) = start_after_loss(1).await;
    let copy = deployment.store.copy();
    configure(&deployment, 30, &[KEY, TAKEN_KEY]);
    sleep(Duration::from_millis(700)).await;
    deployment.store.come_back_from(copy);
    replica.register(&deployment.store, UpstreamStage::Ready, 3);
    assert_key_is_taken_away(&deployment, &relays, 40).await;
}

/// Guards against a store that confirms, to routers that know newer ones, rules that it lost.
#[tokio::test]
async fn a_withdrawn_key_stays_withdrawn_while_the_store_holds_an_older_configuration() {
    let deployment = Deployment::start().await;
    configure(&deployment, 10, &[KEY, TAKEN_KEY]);
    let _replica = deployment.replica("up-1", "v1").await;
    let relays = start_relays(&deployment).await;
    let copy = deployment.store.copy();
    assert_key_is_taken_away(&deployment, &relays, 11).await;
    deployment.store.come_back_from(copy);
    let until = Instant::now() + CALM_TIME;
    while Instant::now() < until {
        for relay in &relays {
            assert_eq!(
                status_with_key(relay, TAKEN_KEY).await,
                StatusCode::UNAUTHORIZED
            );
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an upstream that has left and gets requests again because the copy holds its entry (DRAIN).
#[tokio::test]
async fn an_upstream_that_left_gets_no_request_after_the_store_came_back() {
    let deployment = Deployment::start().await;
    configure(&deployment, 10, &[KEY]);
    let left = deployment.replica("up-1", "v1").await;
    let _staying = deployment.replica("up-2", "v1").await;
    let relays = start_relays(&deployment).await;
    let copy = deployment.store.copy();
    left.register(&deployment.store, UpstreamStage::Draining, 2);
    sleep(Duration::from_secs(1)).await;
    let id = left.record(UpstreamStage::Draining, 2).incarnation.id;
    deployment
        .store
        .put(ferry_platform::store::UPSTREAM_TOPIC, id.as_str(), b"");
    sleep(Duration::from_secs(1)).await;
    let before = left.runs().len();
    deployment.store.come_back_from(copy);
    for number in 0..120 {
        for relay in &relays {
            let id = format!("a-{number}");
            call(request(relay, &format!("/letters/{number}"), &id)).await;
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(left.runs().len(), before);
}

/// Guards against a fleet that falls into two: a router that starts later finds neither the secret nor the entries of the others.
#[tokio::test]
async fn the_routers_records_are_written_again_after_the_store_came_back() {
    let deployment = Deployment::start().await;
    configure(&deployment, 10, &[KEY]);
    let _replica = deployment.replica("up-1", "v1").await;
    let copy = deployment.store.copy();
    let relays = start_relays(&deployment).await;
    sleep(CALM_TIME).await;
    let secret = deployment.store.newest(ROUTER_TOPIC, SECRET_KEY);
    assert!(secret.is_some());
    deployment.store.come_back_from(copy);
    eventually("the routers' records are stored again", async || {
        let entries = ["router/entry-1", "router/entry-2", "router/entry-3"];
        let stored = |key: &&str| deployment.store.newest(ROUTER_TOPIC, key).is_some();
        deployment.store.newest(ROUTER_TOPIC, SECRET_KEY) == secret && entries.iter().all(stored)
    })
    .await;
    assert_eq!(relays.len(), 3);
}
