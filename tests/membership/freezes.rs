//! Routers frozen while the configuration changes, and snapshots that come late.

use ferry_decisions::config::ConfigRecord;
use ferry_rig::{ChatResult, eventually};
use futures::future::join_all;

use crate::look::{
    VERSION, ask_at, config, keep_one_record, log_earliest, runs, until_equal, until_in_force,
    until_serving, whole_fleet, withdraw,
};
use crate::sample::client;

/// Requests sent to a frozen router.
const REQUESTS: usize = 16;

#[tokio::test]
async fn a_thawed_router_dispatches_nothing_stale_and_reloads() {
    let rig = whole_fleet(3).await;
    until_serving(&rig, 2).await;
    rig.routers[2].process.freeze();
    let offset = withdraw(&rig).await;
    until_in_force(&rig, 0, offset).await;
    keep_one_record(&rig).await;
    eventually("retention passes the frozen router", || async {
        (log_earliest(&rig).await > offset + 1).then_some(())
    })
    .await;
    let before = runs(&rig).await;
    let address = rig.callers(2);
    let calls: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let address = address.clone();
            tokio::spawn(async move { ask_at(&client(), &address).await })
        })
        .collect();
    // Gives the calls time to reach the frozen router's sockets; the test holds without it as well.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    rig.routers[2].process.thaw();
    for call in join_all(calls).await {
        let call = call.unwrap();
        assert!(matches!(call, ChatResult::Refused(_)), "{call:?}");
    }
    assert_eq!(runs(&rig).await, before);
    until_equal(&rig, &[0, 1, 2], offset).await;
}

#[tokio::test]
async fn a_stale_snapshot_changes_nothing() {
    let mut rig = whole_fleet(3).await;
    let stale = rig.admin(0, "/config").await.unwrap();
    let offset = withdraw(&rig).await;
    until_equal(&rig, &[0, 1, 2], offset).await;
    let hash = config(&rig, 0).await.unwrap()["hash"].clone();

    let record = ConfigRecord::Snapshot(serde_json::from_value(stale).unwrap());
    let data = serde_json::to_vec(&record).unwrap();
    let late = rig.log().append("config", data).await.unwrap();
    until_equal(&rig, &[0, 1, 2], late).await;
    assert_eq!(config(&rig, 0).await.unwrap()["hash"], hash);

    keep_one_record(&rig).await;
    eventually("a newer snapshot replaces it", || async {
        (log_earliest(&rig).await > late + 1).then_some(())
    })
    .await;
    rig.routers[1].process.kill().await;
    rig.restart_router(1).await.unwrap();
    until_equal(&rig, &[0, 1, 2], late).await;
    let state = rig.admin(1, "/config").await.unwrap();
    assert_eq!(
        state["state"]["objects"][format!("version/{VERSION}")]["spec"]["version"]["phase"],
        "withdrawn",
        "{state}"
    );
}
