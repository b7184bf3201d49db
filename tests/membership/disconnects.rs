//! Routers that lose the log, their peers, or both.

use serde_json::json;
use tokio::time::Instant;

use crate::fleet_checks::{
    FRESHNESS_LIMIT, PAST_FRESHNESS_LIMIT, assert_serving, config, connected_fleet, send_request,
    start_log_outage, try_send_request, until_in_force, until_same_config, until_serving,
    until_stale, withdraw,
};
use crate::sample::client;
use ferry_rig::{ChatResult, eventually};

#[tokio::test]
async fn a_fleet_keeps_serving_during_an_outage_of_the_platform() {
    let rig = connected_fleet(3).await;
    let outage = json!({ "outage": { "answer": "unavailable" } });
    rig.platform_faults(&outage).await;
    assert_serving(&rig, &[0, 1, 2], PAST_FRESHNESS_LIMIT).await;
}

#[tokio::test]
async fn a_router_cut_off_in_a_log_outage_refuses_and_the_others_keep_serving() {
    // Five routers: bills need two peers in other availability zones even without the router that is cut off.
    let rig = connected_fleet(5).await;
    start_log_outage(&rig).await;
    rig.cut_peers(0);
    until_stale(&rig, 0).await;
    assert_serving(&rig, &[1, 2, 3, 4], FRESHNESS_LIMIT).await;
    until_stale(&rig, 0).await;
    rig.heal();
    until_serving(&rig, 0).await;
}

#[tokio::test]
async fn a_router_without_the_log_keeps_serving_and_gets_changes_from_its_peers() {
    let rig = connected_fleet(3).await;
    rig.routers[0].platform_link.cut();
    assert_serving(&rig, &[0], PAST_FRESHNESS_LIMIT).await;
    let offset = withdraw(&rig).await;
    until_same_config(&rig, &[0, 1, 2], offset).await;
    until_in_force(&rig, 1, offset).await;
    let refusal = send_request(&rig, 0).await.refusal();
    assert_eq!(refusal.kind(), "no_version_allowed");
}

#[tokio::test]
async fn a_router_without_peers_keeps_serving_and_gets_changes_from_the_log() {
    let rig = connected_fleet(3).await;
    rig.cut_peers(0);
    assert_serving(&rig, &[0], PAST_FRESHNESS_LIMIT).await;
    let offset = withdraw(&rig).await;
    until_same_config(&rig, &[0, 1, 2], offset).await;
    until_in_force(&rig, 1, offset).await;
    let refusal = send_request(&rig, 0).await.refusal();
    assert_eq!(refusal.kind(), "no_version_allowed");
}

#[tokio::test]
async fn an_isolated_router_admits_no_request_after_the_freshness_limit() {
    let rig = connected_fleet(3).await;
    rig.routers[0].platform_link.cut();
    rig.cut_peers(0);
    let cut_at = Instant::now();
    let end = cut_at + PAST_FRESHNESS_LIMIT;
    let mut refused = 0;
    while Instant::now() < end {
        let sent_at = Instant::now();
        match try_send_request(&client(), &rig.callers(0)).await {
            ChatResult::Refused(refusal) => {
                assert_eq!(refusal.kind(), "configuration_stale");
                assert_eq!(refusal.run, "not_run");
                refused += 1;
            }
            other => assert!(
                sent_at < cut_at + FRESHNESS_LIMIT,
                "{:?}: {other:?}",
                sent_at - cut_at
            ),
        }
    }
    assert!(refused > 0);
}

#[tokio::test]
async fn a_router_started_in_a_log_outage_loads_the_configuration_from_a_peer() {
    let mut rig = connected_fleet(3).await;
    let before = config(&rig, 1).await.unwrap();
    start_log_outage(&rig).await;
    rig.routers[0].process.kill().await;
    rig.restart_router(0).await.unwrap();
    eventually("the configuration is loaded from a peer", || async {
        (config(&rig, 0).await? == before).then_some(())
    })
    .await;
    until_serving(&rig, 0).await;
}
