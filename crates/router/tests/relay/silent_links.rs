//! Connections that go silent for good, between routers and to the store, while new ones work.
//!
//! Load pattern: all open connections of a zone's routers go silent at the same moment, and again a second later, while the configuration
//! changes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_decisions::sync::RouterEntry;
use ferry_rig::LinkProxy;
use ferry_router::peer::{decode, encode};
use ferry_router::relay::RelayDaemon;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use crate::deployment::{Deployment, eventually, loopback, rule};
use crate::raw_replica::{read_raw_at, register_raw};

/// Topic of the routers' entries.
const ROUTER_TOPIC: &str = "keyed.routers";
/// Number of routers of the only zone.
const ROUTERS: usize = 6;
/// Address of the first router; the others have the next ones.
const FIRST_ADDRESS: [u8; 4] = [127, 0, 21, 1];
/// Time for which the routers run before their connections go silent; shorter than links without queries are kept.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Number of times that all connections go silent, and the time between two.
const SILENCES: u64 = 2;
const SILENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the last of them in which each router must have the newest configuration and recent rules.
const RECOVERY_BOUND: Duration = Duration::from_secs(3);
/// Time after a disturbance from which on a router is bound by each change of the configuration, as in the deployments' settings.
const CONTACT_BOUND: Duration = Duration::from_secs(4);
/// Age of rules that are recent.
const RECENT_AGE: Duration = Duration::from_secs(2);

fn rules(number: u64) -> Vec<RouteRule> {
    vec![rule(&format!("/letters-{number}/"), RunKind::Idempotent)]
}

/// Starts a router on an address of its own, and lets those that start later reach it by way of a proxy only.
pub async fn start_proxied(
    deployment: &Deployment,
    ip: IpAddr,
    host: &str,
    zone: &str,
) -> (RelayDaemon, LinkProxy) {
    let relay = deployment.relay_at(host, zone, ip).await;
    let mut entry = router_entry(deployment, host).await;
    let proxy = LinkProxy::start(loopback().ip()).await.unwrap();
    proxy.set_target(entry.address);
    entry.address = proxy.address;
    let entry = encode(&entry).unwrap();
    deployment
        .store
        .put(ROUTER_TOPIC, &router_key(host), &entry);
    (relay, proxy)
}

fn router_key(host: &str) -> String {
    format!("router/{host}")
}

/// Entry of a router, once it is registered.
async fn router_entry(deployment: &Deployment, host: &str) -> RouterEntry {
    let mut entry = None;
    eventually("the router is registered", async || {
        entry = deployment.store.newest(ROUTER_TOPIC, &router_key(host));
        entry.is_some()
    })
    .await;
    decode(&entry.unwrap()).unwrap()
}

fn oldest_rules(relays: &[RelayDaemon]) -> Duration {
    let ages = relays.iter().map(|relay| relay.status().rules_age_ms);
    Duration::from_millis(ages.max().unwrap_or(0))
}

/// Guards against routers that wait on connections which have gone silent for longer than their rules may go unconfirmed (CONFIG).
#[tokio::test(flavor = "multi_thread")]
async fn rules_are_recent_soon_after_all_connections_went_silent() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, &rules(1));
    let _replica = deployment.replica("up-1", "v1").await;
    let store_link = LinkProxy::start(loopback().ip()).await.unwrap();
    store_link.set_target(deployment.store.address());
    deployment.store_address = Some(store_link.address);
    // In the order in which they sync from one another.
    let mut hosts: Vec<String> = (0..ROUTERS).map(|host| format!("entry-{host}")).collect();
    hosts.sort_by_key(|host| xxh3_64(host.as_bytes()));
    let (mut relays, mut links) = (Vec::new(), vec![store_link]);
    for (number, host) in hosts.iter().enumerate() {
        let [a, b, c, d] = FIRST_ADDRESS;
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, d + number as u8));
        let (relay, link) = start_proxied(&deployment, ip, host, "zone-a").await;
        relays.push(relay);
        links.push(link);
    }
    eventually("all but one sync from another one", async || {
        let synced = relays.iter().filter(|relay| relay.is_synced_from_peer());
        synced.count() == ROUTERS - 1
    })
    .await;
    sleep(CALM_TIME).await;

    for number in 0..SILENCES {
        links.iter().for_each(LinkProxy::silence);
        deployment.configure(2 + number, &rules(2 + number));
        sleep(SILENCE_INTERVAL).await;
    }
    let last_at = Instant::now() - SILENCE_INTERVAL;
    let mut oldest = Duration::ZERO;
    while last_at.elapsed() < RECOVERY_BOUND {
        oldest = oldest.max(oldest_rules(&relays));
        sleep(Duration::from_millis(20)).await;
    }
    assert!(oldest < CONTACT_BOUND, "rules were {oldest:?} old");
    let revisions = relays.iter().map(|relay| relay.status().revision);
    assert_eq!(revisions.collect::<Vec<_>>(), [1 + SILENCES; ROUTERS]);
    let age = oldest_rules(&relays);
    assert!(
        age < RECENT_AGE,
        "rules are {age:?} old, {oldest:?} at most"
    );
}

/// Number of routers of the zone, of which only the last one in the order of sync sources stays.
const ZONE_ROUTERS: usize = 3;
/// Address of the first of them; the others have the next ones.
const LEFT_ADDRESS: [u8; 4] = [127, 0, 22, 1];
/// Time for which the last one is watched: the others are asked again after 3, 9 and 21 s.
const WATCH_TIME: Duration = Duration::from_secs(14);

/// Starts the routers of a zone, and stops all but the last one in the order of sync sources: connections to the addresses of the others hang
/// from then on.
async fn start_last_of_zone(deployment: &Deployment) -> RelayDaemon {
    let names = (0..ZONE_ROUTERS).map(|number| format!("entry-{number}"));
    let mut hosts: Vec<String> = names.collect();
    hosts.sort_by_key(|host| xxh3_64(host.as_bytes()));
    let mut routers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        let [a, b, c, d] = LEFT_ADDRESS;
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, d + number as u8));
        let relay = deployment.relay_at(host, "zone-a", ip).await;
        routers.push((relay, router_entry(deployment, host).await.address));
    }
    let (last, _) = routers.pop().unwrap();
    for (relay, address) in routers {
        relay.stop().await;
        tokio::spawn(hold_connections(TcpListener::bind(address).await.unwrap()));
    }
    last
}

/// Accepts connections and never answers.
async fn hold_connections(listener: TcpListener) {
    let mut open = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        open.push(stream);
    }
}

/// Highest age of the rules of `relay` over [`WATCH_TIME`], while requests find an upstream that is gone, for which it asks other routers.
async fn oldest_rules_meanwhile(relay: &RelayDaemon) -> Duration {
    let begun_at = Instant::now();
    let mut oldest = Duration::ZERO;
    for number in 0.. {
        if begun_at.elapsed() > WATCH_TIME {
            break;
        }
        let address = relay.callers_address();
        let path = format!("/letters-1/{number}");
        tokio::spawn(async move { read_raw_at(address, &path, "a").await });
        oldest = oldest.max(oldest_rules(std::slice::from_ref(relay)));
        sleep(Duration::from_millis(20)).await;
    }
    oldest
}

/// Guards against a router that reads the store for its zone, and stops whenever it asks one again that has left (CONFIG).
#[tokio::test(flavor = "multi_thread")]
async fn the_last_router_of_a_zone_keeps_recent_rules() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &rules(1));
    let _replica = deployment.replica("up-1", "v1").await;
    let last = start_last_of_zone(&deployment).await;
    register_raw(&deployment, "up-gone", closed_port().await);
    let oldest = oldest_rules_meanwhile(&last).await;
    assert!(oldest < RECENT_AGE, "rules were {oldest:?} old");
}

/// Guards against a router that syncs from another zone, and waits for the answer of one that has left before it asks that one again (CONFIG).
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_syncs_from_another_zone_keeps_recent_rules() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, &rules(1));
    let _replica = deployment.replica("up-1", "v1").await;
    let _other = deployment.relay_in("other", "zone-b").await;
    let store_link = LinkProxy::start(loopback().ip()).await.unwrap();
    store_link.set_target(deployment.store.address());
    deployment.store_address = Some(store_link.address);
    let last = start_last_of_zone(&deployment).await;
    store_link.cut();
    register_raw(&deployment, "up-gone", closed_port().await);
    eventually("it syncs from the other zone", async || {
        last.is_synced_from_peer()
    })
    .await;
    let oldest = oldest_rules_meanwhile(&last).await;
    assert!(oldest < RECENT_AGE, "rules were {oldest:?} old");
}

/// Address at which nobody listens.
async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    listener.local_addr().unwrap()
}
