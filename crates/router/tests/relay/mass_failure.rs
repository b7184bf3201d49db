//! Many upstreams that end at the same moment, with all requests in flight there: what the routers tell one another of it must not fill their links.
//!
//! Load pattern: hundreds of requests run at upstreams that all end together; each of them may be what crashed its upstream.

use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_router::relay::RelayDaemon;
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use futures::future::join_all;
use tokio::time::sleep;

use crate::deployment::{Deployment, call, eventually, request, rule};

/// Routers of one availability zone: one reads the store, the others sync from it.
const ROUTERS: usize = 8;
const UPSTREAMS: [&str; 12] = [
    "up-1", "up-2", "up-3", "up-4", "up-5", "up-6", "up-7", "up-8", "up-9", "up-10", "up-11",
    "up-12",
];
/// Requests in flight at each router when the upstreams end.
const REQUESTS_PER_ROUTER: usize = 150;
/// Time for which a request runs.
const RUN_TIME: Duration = Duration::from_secs(20);
/// Time after the end of the upstreams over which the links are watched.
const WATCH_TIME: Duration = Duration::from_secs(6);
/// Bytes per second that a router may spend on control, as the users state it.
const CONTROL_BYTES_PER_S: u64 = 14_000;
/// Age of the rules that counts as recent.
const RECENT_AGE: Duration = Duration::from_secs(2);

async fn start_routers(deployment: &Deployment) -> Vec<RelayDaemon> {
    let mut relays = Vec::new();
    for number in 0..ROUTERS {
        relays.push(deployment.relay_on(&format!("entry-{number}")).await);
    }
    eventually("all routers but one sync", async || {
        let synced = relays.iter().filter(|relay| relay.is_synced_from_peer());
        synced.count() == ROUTERS - 1
    })
    .await;
    relays
}

/// Sends requests to all routers, and waits until all of them run.
async fn run_requests(relays: &[RelayDaemon], replicas: &[ReplicaStandin]) {
    for (router, relay) in relays.iter().enumerate() {
        for number in 0..REQUESTS_PER_ROUTER {
            let path = format!("/letters/{router}/{number}");
            tokio::spawn(call(request(relay, &path, &format!("a-{router}-{number}"))));
        }
    }
    eventually("all requests run", async || {
        let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
        runs == ROUTERS * REQUESTS_PER_ROUTER
    })
    .await;
}

fn sent_bytes(relays: &[RelayDaemon]) -> u64 {
    let sent = relays.iter().map(|relay| relay.status().peer_sent_bytes);
    sent.sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_end_together_do_not_fill_the_links_between_routers() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let plan = ReplicaPlan {
        wait: RUN_TIME,
        ..ReplicaPlan::default()
    };
    let replicas = deployment.replicas(UPSTREAMS, &plan).await;
    let relays = start_routers(&deployment).await;
    run_requests(&relays, &replicas).await;
    let before = sent_bytes(&relays);
    join_all(replicas.iter().map(|replica| replica.crash())).await;
    sleep(WATCH_TIME).await;
    let sent = sent_bytes(&relays) - before;
    let allowed = CONTROL_BYTES_PER_S * ROUTERS as u64 * WATCH_TIME.as_secs();
    assert!(
        sent <= allowed,
        "{sent} bytes between the routers, {allowed} are allowed"
    );
    let ages = relays.iter().map(|relay| relay.status().rules_age_ms);
    let oldest = Duration::from_millis(ages.max().unwrap_or_default());
    assert!(oldest <= RECENT_AGE, "rules are {oldest:?} old");
}
