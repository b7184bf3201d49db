//! Routers that are frozen while the configuration changes, and snapshots that are appended late.

use std::time::Duration;

use ferry_decisions::config::ConfigRecord;
use ferry_rig::{ChatCall, ChatResult, eventually};
use futures::future::join_all;
use tokio::time::{sleep, timeout};

use crate::fleet_checks::{
    VERSION, config, connected_fleet, keep_one_record, log_earliest, send_request_to, started_runs,
    until_in_force, until_same_config, until_serving, withdraw,
};
use crate::sample::client;

/// Requests sent to a frozen router.
const REQUESTS: usize = 16;
/// Deadline of a request that arrives at a frozen router; longer than a run, and shorter than the configuration lease.
const SHORT_DEADLINE_MS: u64 = 300;

#[tokio::test]
async fn a_thawed_router_dispatches_nothing_stale_and_reloads() {
    let rig = connected_fleet(3).await;
    until_serving(&rig, 2).await;
    rig.routers[2].process.freeze().await;
    let offset = withdraw(&rig).await;
    until_in_force(&rig, 0, offset).await;
    keep_one_record(&rig).await;
    eventually("retention passes the frozen router", || async {
        (log_earliest(&rig).await > offset + 1).then_some(())
    })
    .await;
    let before = started_runs(&rig).await;
    let address = rig.callers(2);
    let calls: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let address = address.clone();
            tokio::spawn(async move { send_request_to(&client(), &address).await })
        })
        .collect();
    // Gives the calls time to reach the frozen router's sockets; the checks hold without this pause as well.
    sleep(Duration::from_millis(300)).await;
    rig.routers[2].process.thaw();
    for call in join_all(calls).await {
        let call = call.unwrap();
        assert!(matches!(call, ChatResult::Refused(_)), "{call:?}");
    }
    assert_eq!(started_runs(&rig).await, before);
    until_same_config(&rig, &[0, 1, 2], offset).await;
}

/// A caller's time counts from the arrival of its request, also while the router is not able to read it.
#[tokio::test]
async fn a_thawed_router_dispatches_nothing_whose_time_is_over() {
    let rig = connected_fleet(3).await;
    until_serving(&rig, 2).await;
    let before = started_runs(&rig).await;
    rig.routers[2].process.freeze().await;
    let address = rig.callers(2);
    let mut call = ChatCall::new(VERSION, "Text");
    call.headers
        .push(("ferry-deadline-ms", SHORT_DEADLINE_MS.to_string()));
    let calling = tokio::spawn(async move { client().chat(&address, &call).await });
    sleep(Duration::from_millis(SHORT_DEADLINE_MS * 2)).await;
    rig.routers[2].process.thaw();
    let result = calling.await.unwrap();
    assert!(matches!(result, ChatResult::Refused(_)), "{result:?}");
    assert_eq!(started_runs(&rig).await, before);
}

/// A caller that gives up while the router is not able to read its request gets nothing run.
#[tokio::test]
async fn a_thawed_router_dispatches_nothing_for_callers_that_left() {
    let rig = connected_fleet(3).await;
    until_serving(&rig, 2).await;
    let before = started_runs(&rig).await;
    rig.routers[2].process.freeze().await;
    let address = rig.callers(2);
    let patience = Duration::from_millis(SHORT_DEADLINE_MS);
    let calls = (0..REQUESTS).map(|_| {
        let address = address.clone();
        async move { timeout(patience, send_request_to(&client(), &address)).await }
    });
    let answers = join_all(calls).await;
    assert!(answers.iter().all(Result::is_err), "the router was frozen");
    // Lets the connections close.
    sleep(patience).await;
    assert_eq!(started_runs(&rig).await, before, "before the thaw");
    rig.routers[2].process.thaw();
    sleep(patience * 4).await;
    assert_eq!(started_runs(&rig).await, before, "after the thaw");
}

#[tokio::test]
async fn a_stale_snapshot_changes_nothing() {
    let mut rig = connected_fleet(3).await;
    let stale = rig.admin(0, "/config").await.unwrap();
    let offset = withdraw(&rig).await;
    until_same_config(&rig, &[0, 1, 2], offset).await;
    let hash = config(&rig, 0).await.unwrap()["hash"].clone();

    let record = ConfigRecord::Snapshot(serde_json::from_value(stale).unwrap());
    let data = serde_json::to_vec(&record).unwrap();
    let late = rig.log().append("config", data).await.unwrap();
    until_same_config(&rig, &[0, 1, 2], late).await;
    assert_eq!(config(&rig, 0).await.unwrap()["hash"], hash);

    keep_one_record(&rig).await;
    eventually("a newer snapshot replaces it", || async {
        (log_earliest(&rig).await > late + 1).then_some(())
    })
    .await;
    rig.routers[1].process.kill().await;
    rig.restart_router(1).await.unwrap();
    until_same_config(&rig, &[0, 1, 2], late).await;
    let state = rig.admin(1, "/config").await.unwrap();
    assert_eq!(
        state["state"]["objects"][format!("version/{VERSION}")]["spec"]["version"]["phase"],
        "withdrawn",
        "{state}"
    );
}
