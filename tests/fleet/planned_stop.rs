//! Planned stops of routers that hold bills which are not on the log.

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, FleetRig, eventually};
use serde_json::json;

use crate::logged_bills::{bills_on_the_log, until_flushed};
use crate::sample::{client, fleet};

async fn start_log_outage(rig: &FleetRig) {
    let outage = json!({ "outage": { "answer": "drop", "path": "/streams" } });
    rig.platform_faults(&outage).await;
}

/// Value of the bill counter `field` in the status of router `index`; absent while it does not answer.
async fn bill_count(rig: &FleetRig, index: usize, field: &str) -> Option<u64> {
    let status = rig.admin(index, "/status").await?;
    status["plugins"]["bills"][field].as_u64()
}

#[tokio::test]
async fn bills_of_a_router_that_stops_in_a_log_outage_reach_the_log_later() {
    let mut rig = fleet(4).await;
    start_log_outage(&rig).await;
    let ids: Vec<_> = (0..10).map(|_| RequestId::generate().to_string()).collect();
    for id in &ids {
        let call = ChatCall::new("small-1", "Summarise").id(id);
        client().chat(&rig.callers(0), &call).await.answer();
    }
    assert_eq!(bill_count(&rig, 0, "unlogged").await, Some(10));
    assert_eq!(bill_count(&rig, 0, "at_risk").await, Some(0));
    rig.routers[0].process.terminate();
    let code = rig.routers[0].process.wait().await;
    assert_eq!(code, Some(0), "the router stops while the log is down");
    assert!(heal_and_check_bills(&rig, 1..4, &ids).await);
}

#[tokio::test]
async fn a_router_without_peers_stops_only_once_its_bill_is_on_the_log() {
    let mut rig = fleet(1).await;
    start_log_outage(&rig).await;
    let id = RequestId::generate().to_string();
    let (address, call) = (
        rig.callers(0),
        ChatCall::new("small-1", "Summarise").id(&id),
    );
    let answer = tokio::spawn(async move { client().chat(&address, &call).await });
    eventually("one bill is at risk", || async {
        (bill_count(&rig, 0, "at_risk").await? == 1).then_some(())
    })
    .await;
    rig.routers[0].process.terminate();
    let log = rig.routers[0].process.log.clone();
    eventually("the router logs what its stop waits for", || async {
        let text = std::fs::read_to_string(&log).ok()?;
        text.contains("the stop waits for").then_some(())
    })
    .await;
    assert!(rig.routers[0].process.is_running());
    assert!(!answer.is_finished(), "the answer waits for its bill");
    rig.platform_heal().await;
    answer.await.unwrap().answer();
    assert_eq!(rig.routers[0].process.wait().await, Some(0));
    assert!(heal_and_check_bills(&rig, 0..0, &[id]).await);
}

/// Ends the log outage; returns whether exactly the requests `ids` are billed, each once.
async fn heal_and_check_bills(
    rig: &FleetRig,
    routers: std::ops::Range<usize>,
    ids: &[String],
) -> bool {
    rig.platform_heal().await;
    eventually("all bills are on the log", || async {
        let bills = bills_on_the_log(rig).await;
        (bills.len() >= ids.len()).then_some(())
    })
    .await;
    until_flushed(rig, routers).await;
    let bills = bills_on_the_log(rig).await;
    bills.len() == ids.len() && ids.iter().all(|id| bills.get(id) == Some(&1))
}
