//! Many routers and a store that is small for them: what breaks must not make all of them read the store.
//!
//! Load pattern: the store is unavailable for a moment and keeps no history meanwhile, so that each read afterwards is a list of all keys;
//! the configuration is large and changes often.

use std::time::Duration;

use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_router::relay::RelayDaemon;
use ferry_standin::store::StoreLimits;
use tokio::time::{Instant, sleep};

use crate::deployment::{Deployment, eventually, is_ready, rule};

/// Time in which an upstream that leaves must get no more requests.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Availability zones, each with the same number of routers.
const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const ROUTERS_PER_ZONE: usize = 10;
/// Number of further rules in each configuration; their names make it large.
const FILLER_RULES: usize = 60;
/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Bytes per second that the store sends to all routers together: a list of all keys for few of them.
const STORE_BYTES_PER_S: u64 = 1_500_000;
/// Time for which the store cannot be read.
const OUTAGE: Duration = Duration::from_secs(3);
/// Time after the outage in which all routers must have recent rules again.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Age of the rules that counts as recent.
const RECENT_AGE: Duration = Duration::from_secs(2);
/// Time for which the fleet is watched after that.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Part of the time for which routers that all start after a loss wait for one that knows more.
const CHECK_TIME: Duration = Duration::from_secs(1);
/// Calls to the store per second that the fleet may make while it is unavailable: for each zone, not for each router.
const CALLS_PER_ZONE: u64 = 30;

fn rules(number: u64) -> Vec<RouteRule> {
    let fillers = (0..FILLER_RULES).map(|filler| format!("/other-{filler:01000}/"));
    let prefixes = fillers.chain([format!("/memos-{number}/")]);
    prefixes
        .map(|prefix| rule(&prefix, RunKind::Idempotent))
        .collect()
}

async fn start_fleet(deployment: &Deployment) -> Vec<RelayDaemon> {
    let mut relays = Vec::new();
    for number in 0..ROUTERS_PER_ZONE {
        for zone in ZONES {
            let host = format!("entry-{zone}-{number}");
            relays.push(deployment.start_in(&host, zone).await);
        }
    }
    eventually("all routers are ready", async || {
        for relay in &relays {
            if !is_ready(relay).await {
                return false;
            }
        }
        true
    })
    .await;
    eventually("all routers but one of each zone sync", async || {
        let synced = relays.iter().filter(|relay| relay.is_synced_from_peer());
        synced.count() == relays.len() - ZONES.len()
    })
    .await;
    relays
}

/// Changes the configuration until the time is over; returns its last number.
async fn change_rules(deployment: &Deployment, first: u64, time: Duration) -> u64 {
    let end = Instant::now() + time;
    let mut number = first;
    while Instant::now() < end {
        number += 1;
        deployment.configure(number, &rules(number));
        sleep(CHANGE_INTERVAL).await;
    }
    number
}

fn oldest_rules(relays: &[RelayDaemon]) -> Duration {
    let ages = relays.iter().map(|relay| relay.status().rules_age_ms);
    Duration::from_millis(ages.max().unwrap_or(0))
}

#[tokio::test]
async fn a_large_fleet_recovers_from_an_outage_of_a_store_that_keeps_no_history() {
    let mut deployment = Deployment::start().await;
    deployment.bounds.drain = DRAIN_BOUND;
    deployment.configure(1, &rules(1));
    let _replica = deployment.replica("up-1", "v1").await;
    let relays = start_fleet(&deployment).await;
    deployment.store.limit(StoreLimits {
        total_bytes_per_s: Some(STORE_BYTES_PER_S),
        ..StoreLimits::default()
    });
    deployment.store.forget_history(true);
    deployment.fail_reads(true);
    let before = deployment.store.calls();
    let number = change_rules(&deployment, 1, OUTAGE).await;
    let calls = deployment.store.calls() - before;
    let most = CALLS_PER_ZONE * ZONES.len() as u64 * OUTAGE.as_secs();
    assert!(
        calls <= most,
        "{calls} calls during the outage, {most} are allowed"
    );

    deployment.fail_reads(false);
    let number = change_rules(&deployment, number, RECOVERY_TIME).await;
    let age = oldest_rules(&relays);
    assert!(age <= RECENT_AGE, "rules are {age:?} old after the outage");
    let end = Instant::now() + WATCH_TIME;
    let mut last = number;
    while Instant::now() < end {
        last = change_rules(&deployment, last, CHANGE_INTERVAL).await;
        let age = oldest_rules(&relays);
        assert!(age <= RECENT_AGE, "rules are {age:?} old");
    }
    eventually("the last configuration is in force", async || {
        relays.iter().all(|relay| relay.status().revision == last)
    })
    .await;
}

/// Guards against a fleet in which every router reads the store while nobody can tell whether the store has lost something.
#[tokio::test]
async fn routers_that_all_start_after_a_loss_do_not_all_read_the_store() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &rules(1));
    let _replica = deployment.replica("up-1", "v1").await;
    deployment.store.come_back_from(deployment.store.copy());
    let mut relays = Vec::new();
    for number in 0..ROUTERS_PER_ZONE {
        for zone in ZONES {
            let host = format!("entry-{zone}-{number}");
            relays.push(deployment.start_in(&host, zone).await);
        }
    }
    eventually("all routers but one of each zone sync", async || {
        let synced = relays.iter().filter(|relay| relay.is_synced_from_peer());
        synced.count() == relays.len() - ZONES.len()
    })
    .await;
    assert!(!is_ready(&relays[0]).await, "the era is checked already");
    let before = deployment.store.calls();
    sleep(CHECK_TIME).await;
    let calls = deployment.store.calls() - before;
    let most = CALLS_PER_ZONE * ZONES.len() as u64 * CHECK_TIME.as_secs();
    assert!(calls <= most, "{calls} calls, {most} are allowed");
}
