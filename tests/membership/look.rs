//! What the tests ask of a fleet and look at.

use std::time::Duration;

use ferry_decisions::config::VersionPhase;
use ferry_rig::{ChatCall, ChatResult, FleetRig, RigClient, eventually};
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use crate::sample::{client, fleet, version};

/// Version that the tests call and withdraw.
pub const VERSION: &str = "small-1";
/// Freshness limit of the rig's routers.
pub const FRESHNESS: Duration = Duration::from_secs(3);
/// Time after which evidence from before a cut supports no lease any more.
pub const PAST_FRESHNESS: Duration = Duration::from_secs(7);

/// Time after which a call is given up whose bill finds no place.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The sample fleet, once every router knows and hears all `routers`.
pub async fn whole_fleet(routers: usize) -> FleetRig {
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

/// Asks router `index` for a completion by the sample version.
pub async fn ask(rig: &FleetRig, index: usize) -> ChatResult {
    ask_at(&client(), &rig.callers(index)).await
}

/// As [`ask`], of the router at `address`.
pub async fn ask_at(caller: &RigClient, address: &str) -> ChatResult {
    caller.chat(address, &ChatCall::new(VERSION, "Text")).await
}

/// As [`ask_at`], for a router that may be unable to make the bill durable.
pub async fn try_ask(caller: &RigClient, address: &str) -> ChatResult {
    let call = ask_at(caller, address);
    let given_up = |_| ChatResult::Broken("given up".to_owned());
    timeout(CALL_LIMIT, call).await.unwrap_or_else(given_up)
}

/// Checks that the routers answer every request for `time`.
pub async fn assert_serving(rig: &FleetRig, routers: &[usize], time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for index in routers {
            let result = ask(rig, *index).await;
            let ChatResult::Answered(answer) = result else {
                panic!("router {index} does not serve: {result:?}");
            };
            assert_eq!(answer.version, VERSION);
        }
    }
}

/// Waits until router `index` refuses for want of a lease.
pub async fn until_stale(rig: &FleetRig, index: usize) {
    eventually("the router refuses", || async {
        match try_ask(&client(), &rig.callers(index)).await {
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
        let result = try_ask(&client(), &rig.callers(index)).await;
        matches!(result, ChatResult::Answered(_)).then_some(())
    })
    .await;
}

/// Withdraws the sample version; gives the offset of the change.
pub async fn withdraw(rig: &FleetRig) -> u64 {
    let before = log_next(rig).await;
    rig.publish(vec![version(VERSION, "small", VersionPhase::Withdrawn)])
        .await;
    before
}

/// Offset that the configuration stream gives next.
pub async fn log_next(rig: &FleetRig) -> u64 {
    let answer = rig.log().read("config", u64::MAX, 1, Duration::ZERO).await;
    answer.unwrap().next
}

/// Oldest offset of the configuration stream that the log keeps.
pub async fn log_earliest(rig: &FleetRig) -> u64 {
    let answer = rig.log().read("config", 0, 1, Duration::ZERO).await;
    answer.unwrap().earliest
}

/// Has the log keep only the newest record of the configuration, and appends one.
pub async fn keep_one_record(rig: &FleetRig) {
    let rule = json!({ "stream": "config", "keep_records": 1 });
    rig.order_platform(Method::PUT, "/standin/retention", &rule)
        .await;
    rig.publish(vec![version("large-1", "large", VersionPhase::Serving)])
        .await;
}

/// Stage of the record at `offset` as router `index` sees it.
pub async fn stage(rig: &FleetRig, index: usize, offset: u64) -> Option<String> {
    let status = rig
        .admin(index, &format!("/config/spread/{offset}"))
        .await?;
    Some(status["stage"].as_str()?.to_owned())
}

/// Waits until router `index` says that the record at `offset` is in force.
pub async fn until_in_force(rig: &FleetRig, index: usize, offset: u64) {
    eventually("the record is in force", || async {
        (stage(rig, index, offset).await? == "in_force").then_some(())
    })
    .await;
}

/// Configuration of router `index`: next offset and hash.
pub async fn config(rig: &FleetRig, index: usize) -> Option<Value> {
    Some(rig.admin(index, "/status").await?["config"].clone())
}

/// Waits until all `routers` hold one configuration that has the record at `offset`.
pub async fn until_equal(rig: &FleetRig, routers: &[usize], offset: u64) {
    eventually("the routers hold one configuration", || async {
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

/// Runs that the engines began on the sample version.
pub async fn runs(rig: &FleetRig) -> u64 {
    let mut runs = 0;
    for engine in &rig.engines {
        let address = engine.process.address("listening");
        let counters = rig.counters(&address).await;
        runs += counters["totals"]["versions"][VERSION]
            .as_u64()
            .unwrap_or_default();
    }
    runs
}

/// Takes the platform's log away.
pub async fn log_outage(rig: &FleetRig) {
    let outage = json!({ "outage": { "answer": "unavailable", "path": "/streams/" } });
    rig.platform_faults(&outage).await;
}
