//! Fleet set-up, requests and checks that the membership tests share.

use std::time::Duration;

use ferry_decisions::config::VersionPhase;
use ferry_rig::{ChatCall, ChatResult, FleetRig, RigClient, eventually};
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use crate::sample::{client, fleet, version};

/// Version that the tests request and withdraw.
pub const VERSION: &str = "small-1";
/// Freshness limit of the rig's routers.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(3);
/// Time after which evidence from before a disconnection no longer supports a lease.
pub const PAST_FRESHNESS_LIMIT: Duration = Duration::from_secs(7);

/// Timeout of a call whose bill may not become durable.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the sample fleet; returns once every router lists all `routers` routers as live.
pub async fn connected_fleet(routers: usize) -> FleetRig {
    let rig = fleet(routers).await;
    for index in 0..routers {
        eventually("the router hears all others", || async {
            let status = rig.admin(index, "/status").await?;
            let members = status["plugins"]["membership"]["members"].as_array()?;
            let present = |member: &&Value| member["listed"] == true && member["health"] == "live";
            (members.iter().filter(present).count() == routers).then_some(())
        })
        .await;
    }
    rig
}

/// Requests a completion of the sample version from router `index`.
pub async fn send_request(rig: &FleetRig, index: usize) -> ChatResult {
    send_request_to(&client(), &rig.callers(index)).await
}

/// Like [`send_request`], from the router at `address`.
pub async fn send_request_to(caller: &RigClient, address: &str) -> ChatResult {
    caller.chat(address, &ChatCall::new(VERSION, "Text")).await
}

/// Like [`send_request_to`], for a router that may be unable to make the bill durable: times out as broken.
pub async fn try_send_request(caller: &RigClient, address: &str) -> ChatResult {
    let call = send_request_to(caller, address);
    let timed_out = |_| ChatResult::Broken("the call timed out".to_owned());
    timeout(CALL_TIMEOUT, call).await.unwrap_or_else(timed_out)
}

/// Checks that `routers` answer every request for the duration `time`.
pub async fn assert_serving(rig: &FleetRig, routers: &[usize], time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for index in routers {
            let result = send_request(rig, *index).await;
            let ChatResult::Answered(answer) = result else {
                panic!("router {index} does not serve: {result:?}");
            };
            assert_eq!(answer.version, VERSION);
        }
    }
}

/// Waits until router `index` refuses requests because it holds no lease.
pub async fn until_stale(rig: &FleetRig, index: usize) {
    eventually("the router refuses", || async {
        match try_send_request(&client(), &rig.callers(index)).await {
            ChatResult::Refused(refusal) if refusal.kind() == "configuration_stale" => {
                assert_eq!(refusal.run, "not_run");
                Some(())
            }
            _ => None,
        }
    })
    .await;
}

/// Waits until router `index` answers.
pub async fn until_serving(rig: &FleetRig, index: usize) {
    eventually("the router answers", || async {
        let result = try_send_request(&client(), &rig.callers(index)).await;
        matches!(result, ChatResult::Answered(_)).then_some(())
    })
    .await;
}

/// Withdraws the sample version; returns the offset of the change.
pub async fn withdraw(rig: &FleetRig) -> u64 {
    let before = log_next(rig).await;
    rig.publish(vec![version(VERSION, "small", VersionPhase::Withdrawn)])
        .await;
    before
}

/// Offset that the next record of the configuration stream gets.
pub async fn log_next(rig: &FleetRig) -> u64 {
    let answer = rig.log().read("config", u64::MAX, 1, Duration::ZERO).await;
    answer.unwrap().next
}

/// Oldest offset of the configuration stream that the log keeps.
pub async fn log_earliest(rig: &FleetRig) -> u64 {
    let answer = rig.log().read("config", 0, 1, Duration::ZERO).await;
    answer.unwrap().earliest
}

/// Makes the log keep only the newest record of the configuration stream, and appends a record.
pub async fn keep_one_record(rig: &FleetRig) {
    let rule = json!({ "stream": "config", "keep_records": 1 });
    rig.order_platform(Method::PUT, "/standin/retention", &rule)
        .await;
    rig.publish(vec![version("large-1", "large", VersionPhase::Serving)])
        .await;
}

/// Propagation stage of the record at `offset` as router `index` reports it.
pub async fn propagation_stage(rig: &FleetRig, index: usize, offset: u64) -> Option<String> {
    let status = rig
        .admin(index, &format!("/config/spread/{offset}"))
        .await?;
    Some(status["stage"].as_str()?.to_owned())
}

/// Waits until router `index` reports that the record at `offset` is in force.
pub async fn until_in_force(rig: &FleetRig, index: usize, offset: u64) {
    eventually("the record is in force", || async {
        (propagation_stage(rig, index, offset).await? == "in_force").then_some(())
    })
    .await;
}

/// Configuration of router `index` (next offset and hash); absent while the router does not answer.
pub async fn config(rig: &FleetRig, index: usize) -> Option<Value> {
    Some(rig.admin(index, "/status").await?["config"].clone())
}

/// Waits until all `routers` hold the same configuration, which contains the record at `offset`.
pub async fn until_same_config(rig: &FleetRig, routers: &[usize], offset: u64) {
    eventually("the routers hold the same configuration", || async {
        let first = config(rig, routers[0]).await?;
        for index in routers {
            if config(rig, *index).await? != first {
                return None;
            }
        }
        (first["next_offset"].as_u64()? > offset).then_some(())
    })
    .await;
}

/// Number of runs of the sample version that the engines started.
pub async fn started_runs(rig: &FleetRig) -> u64 {
    let mut count = 0;
    for engine in &rig.engines {
        let address = engine.process.address("listening");
        let counters = rig.counters(&address).await;
        count += counters["totals"]["versions"][VERSION]
            .as_u64()
            .unwrap_or_default();
    }
    count
}

/// Makes the platform answer every call to the log as unavailable.
pub async fn start_log_outage(rig: &FleetRig) {
    let outage = json!({ "outage": { "answer": "unavailable", "path": "/streams/" } });
    rig.platform_faults(&outage).await;
}
