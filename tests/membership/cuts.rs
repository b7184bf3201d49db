//! Routers that lose the log, their peers, or both.

use serde_json::json;
use tokio::time::Instant;

use crate::look::{
    FRESHNESS, PAST_FRESHNESS, ask, assert_serving, config, log_outage, try_ask, until_equal,
    until_in_force, until_serving, until_stale, whole_fleet, withdraw,
};
use crate::sample::client;
use ferry_rig::{ChatResult, eventually};

#[tokio::test]
async fn a_fleet_serves_on_through_an_outage_of_the_platform() {
    let rig = whole_fleet(3).await;
    let outage = json!({ "outage": { "answer": "unavailable" } });
    rig.platform_faults(&outage).await;
    assert_serving(&rig, &[0, 1, 2], PAST_FRESHNESS).await;
}

#[tokio::test]
async fn a_router_cut_off_in_an_outage_refuses_and_the_others_serve_on() {
    // Bills need two peers in other availability zones also without the router that is cut off.
    let rig = whole_fleet(5).await;
    log_outage(&rig).await;
    rig.cut_peers(0);
    until_stale(&rig, 0).await;
    assert_serving(&rig, &[1, 2, 3, 4], FRESHNESS).await;
    until_stale(&rig, 0).await;
    rig.heal();
    until_serving(&rig, 0).await;
}

#[tokio::test]
async fn a_router_without_the_log_serves_on_and_learns_through_its_peers() {
    let rig = whole_fleet(3).await;
    rig.routers[0].platform_link.cut();
    assert_serving(&rig, &[0], PAST_FRESHNESS).await;
    let offset = withdraw(&rig).await;
    until_equal(&rig, &[0, 1, 2], offset).await;
    until_in_force(&rig, 1, offset).await;
    let refusal = ask(&rig, 0).await.refusal();
    assert_eq!(refusal.kind(), "no_version_allowed");
}

#[tokio::test]
async fn a_router_without_peers_serves_on_and_learns_from_the_log() {
    let rig = whole_fleet(3).await;
    rig.cut_peers(0);
    assert_serving(&rig, &[0], PAST_FRESHNESS).await;
    let offset = withdraw(&rig).await;
    until_equal(&rig, &[0, 1, 2], offset).await;
    until_in_force(&rig, 1, offset).await;
    let refusal = ask(&rig, 0).await.refusal();
    assert_eq!(refusal.kind(), "no_version_allowed");
}

#[tokio::test]
async fn a_router_cut_off_from_all_admits_nothing_after_the_freshness_limit() {
    let rig = whole_fleet(3).await;
    rig.routers[0].platform_link.cut();
    rig.cut_peers(0);
    let cut = Instant::now();
    let end = cut + PAST_FRESHNESS;
    let mut refused = 0;
    while Instant::now() < end {
        let began = Instant::now();
        match try_ask(&client(), &rig.callers(0)).await {
            ChatResult::Refused(refusal) => {
                assert_eq!(refusal.kind(), "configuration_stale");
                assert_eq!(refusal.run, "not_run");
                refused += 1;
            }
            other => assert!(began < cut + FRESHNESS, "{:?}: {other:?}", began - cut),
        }
    }
    assert!(refused > 0);
}

#[tokio::test]
async fn a_router_started_in_an_outage_takes_the_configuration_from_a_peer() {
    let mut rig = whole_fleet(3).await;
    let before = config(&rig, 1).await.unwrap();
    log_outage(&rig).await;
    rig.routers[0].process.kill().await;
    rig.restart_router(0).await.unwrap();
    eventually("the configuration is taken over", || async {
        (config(&rig, 0).await? == before).then_some(())
    })
    .await;
    until_serving(&rig, 0).await;
}
