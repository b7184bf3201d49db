//! Long histories of the store's topics, over a link of limited speed.

use std::time::Duration;

use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_platform::entries::encode_upstream;
use ferry_platform::store::UPSTREAM_TOPIC;
use ferry_router::relay::RelayDaemon;
use ferry_standin::store::StoreLimits;
use hyper::StatusCode;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use crate::deployment::{Deployment, call, eventually, is_ready, request, rule};

/// Speed of the link of a small host, 10 Mbit/s, in bytes per second.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// Number of configurations of a day with many changes.
const REVISIONS: u64 = 250;
/// Time between two changes while the source keeps up with them.
const CHANGE_INTERVAL: Duration = Duration::from_millis(15);
/// Number of further rules in each of them; their names make up most of its 16 KB.
const FILLER_RULES: usize = 60;
/// Time in which a configuration must be in force everywhere.
const APPLY_BOUND: Duration = Duration::from_secs(3);
/// Time for which the tests watch a new route.
const WATCH_TIME: Duration = Duration::from_secs(7);
/// Number of entries that upstreams renew in the history.
const HEARTBEATS: u64 = 20_000;
/// Time in which an upstream that leaves must get no more requests.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time for which the store's reads fail.
const OUTAGE: Duration = Duration::from_millis(700);

/// A deployment whose store sends each response at the speed of a small host's link.
async fn start_deployment() -> Deployment {
    let deployment = Deployment::start().await;
    deployment.configure(1, &rules(&["/letters/"]));
    limit_link(&deployment);
    deployment
}

fn limit_link(deployment: &Deployment) {
    deployment.store.limit(StoreLimits {
        link_bytes_per_s: Some(LINK_BYTES_PER_S),
        ..StoreLimits::default()
    });
}

/// Rules for `prefixes`, with further ones for other paths.
fn rules(prefixes: &[&str]) -> Vec<RouteRule> {
    let fillers = (0..FILLER_RULES).map(|number| format!("/other-{number:0100}/"));
    let named = prefixes.iter().map(ToString::to_string);
    named
        .chain(fillers)
        .map(|prefix| rule(&prefix, RunKind::Idempotent))
        .collect()
}

/// Writes many configurations, the last of which adds a route; returns when it was written.
fn write_history(deployment: &Deployment) -> Instant {
    let same = rules(&["/letters/"]);
    for revision in 2..REVISIONS {
        deployment.configure(revision, &same);
    }
    deployment.configure(REVISIONS, &rules(&["/letters/", "/memos/"]));
    Instant::now()
}

/// Requests the new route until `WATCH_TIME` after `written_at`. Returns when it was first served, and the number of requests that
/// were refused as unknown later than the bound.
async fn watch_route(relay: &RelayDaemon, written_at: Instant) -> (Option<Duration>, usize) {
    let mut served_after = None;
    let mut late_refusals = 0;
    while written_at.elapsed() < WATCH_TIME {
        let sent_after = written_at.elapsed();
        let status = call(request(relay, "/memos/7", "a")).await.status;
        match status {
            StatusCode::OK => served_after = served_after.or(Some(sent_after)),
            StatusCode::NOT_FOUND if sent_after > APPLY_BOUND => late_refusals += 1,
            _ => {}
        }
        sleep(Duration::from_millis(25)).await;
    }
    (served_after, late_refusals)
}

#[tokio::test]
async fn a_read_that_ends_before_the_end_of_the_topic_confirms_no_rules() {
    let deployment = start_deployment().await;
    let _replica = deployment.replica("up-1", "v1").await;
    let relay = deployment.relay().await;
    deployment.fail_reads(true);
    let written_at = write_history(&deployment);
    sleep(OUTAGE).await;
    deployment.fail_reads(false);
    let (served_after, late_refusals) = watch_route(&relay, written_at).await;
    assert_eq!(
        late_refusals, 0,
        "refused as unknown; served after {served_after:?}"
    );
    assert!(served_after.is_some(), "the route is not served");
}

#[tokio::test]
async fn a_router_that_reads_the_store_again_does_not_read_the_history_that_it_got_from_another_one()
 {
    let deployment = start_deployment().await;
    let _replica = deployment.replica("up-1", "v1").await;
    let mut hosts = ["entry-1", "entry-2"];
    hosts.sort_by_key(|host| xxh3_64(host.as_bytes()));
    let source_runtime = Runtime::new().unwrap();
    let source = deployment.start_on(&source_runtime, hosts[0]).await;
    eventually("the source is ready", async || is_ready(&source).await).await;
    let relay = deployment.relay_on(hosts[1]).await;
    eventually("the second router syncs from the first", async || {
        relay.is_synced_from_peer()
    })
    .await;
    // Without the limit, so that the source keeps up with the history.
    deployment.store.limit(StoreLimits::default());
    for revision in 2..=REVISIONS {
        deployment.configure(revision, &rules(&["/letters/"]));
        sleep(CHANGE_INTERVAL).await;
    }
    eventually("the history is in force", async || {
        relay.status().revision == REVISIONS
    })
    .await;
    eventually("the second router syncs again", async || {
        relay.is_synced_from_peer()
    })
    .await;
    limit_link(&deployment);
    source_runtime.shutdown_background();
    let added = ["/letters/", "/memos/", "/notes/"];
    deployment.configure(REVISIONS + 1, &rules(&added));
    let written_at = Instant::now();
    eventually("the change is in force", async || {
        call(request(&relay, "/notes/7", "a")).await.status == StatusCode::OK
    })
    .await;
    let took = written_at.elapsed();
    assert!(took <= APPLY_BOUND, "in force after {took:?}");
}

#[tokio::test]
async fn an_upstream_that_leaves_is_noticed_before_the_history_of_the_others_is_read() {
    let mut deployment = start_deployment().await;
    deployment.bounds.drain = DRAIN_BOUND;
    let leaving = deployment.replica("up-1", "v1").await;
    let staying = deployment.replica("up-2", "v1").await;
    let relay = deployment.relay().await;
    deployment.fail_reads(true);
    for sequence in 2..HEARTBEATS {
        let entry = encode_upstream(&staying.record(UpstreamStage::Ready, sequence));
        deployment.store.put(UPSTREAM_TOPIC, "up-2", &entry);
    }
    leaving.register(&deployment.store, UpstreamStage::Draining, 2);
    let written_at = Instant::now();
    sleep(OUTAGE).await;
    deployment.fail_reads(false);
    while written_at.elapsed() < WATCH_TIME {
        call(request(&relay, "/letters/7", "a")).await;
        sleep(Duration::from_millis(25)).await;
    }
    let bound = written_at + DRAIN_BOUND;
    let late = leaving.runs().iter().filter(|run| run.at > bound).count();
    assert_eq!(late, 0, "requests reached the upstream that had left");
}
