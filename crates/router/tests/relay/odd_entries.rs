//! Odd entries that another writer leaves among those that routers read.

use std::time::Duration;

use ferry_decisions::registry::{UpstreamRecord, UpstreamStage};
use ferry_decisions::rollout::{RolloutOrder, RolloutPhase};
use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_platform::entries::{
    CONFIG_KEY, RolloutStatus, encode_order, encode_rules, encode_status, encode_upstream,
};
use ferry_platform::store::{OPERATOR_TOPIC, STATUS_TOPIC, UPSTREAM_TOPIC};
use ferry_router::relay::RelayDaemon;
use ferry_standin::ReplicaStandin;
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::deployment::{Deployment, SERVICE, call, eventually, request, rule};

/// Hosts of the tests' routers, all in one availability zone: all but one sync from another.
const ROUTERS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
/// Depth of the nested values, which a parser that calls itself for each level does not survive.
const DEPTH: usize = 200_000;
/// Topics that routers write and read themselves.
const OWN_TOPICS: [(&str, &str); 3] = [
    ("keyed.routers", "router/odd"),
    ("keyed.crashes", "odd"),
    (STATUS_TOPIC, "rollout/letters"),
];

/// A field of an entry with a value that no field has, or none that can be used.
fn odd_values() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let objects = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    let plain = [
        "1e999",
        "-1e999",
        "1e308",
        "-1",
        "1e18",
        "18446744073709551616",
        "18446744073709551615",
        "4294967295",
        "null",
        "\"\"",
        "\"10.0.0.1:65536\"",
        "\"10.0.0.1:99999999999999999999\"",
        "\"10.0.0.1:0\"",
        "\"10.0.0.1:-1\"",
        "\"[::%9]:1\"",
        "\"\\ud800\"",
    ];
    let plain = plain.into_iter().map(str::to_owned);
    plain.chain([nested, objects]).collect()
}

/// `entry` with each of its fields, and with an unknown one, replaced by each odd value in turn; and texts that are no entry.
fn odd_variants(entry: &[u8]) -> Vec<Vec<u8>> {
    let entry: Value = serde_json::from_slice(entry).unwrap();
    let fields = entry.as_object().unwrap().keys().cloned();
    let mut variants: Vec<Vec<u8>> = odd_values().into_iter().map(String::into_bytes).collect();
    for field in fields.chain(["unknown".to_owned()]) {
        for value in odd_values() {
            let mut marked = entry.clone();
            marked[&field] = json!("MARK");
            let text = marked.to_string().replace("\"MARK\"", &value);
            variants.push(text.into_bytes());
        }
    }
    variants
}

/// `entry` with the largest number in `field`, and with an address at which nothing listens.
fn largest(entry: &[u8], field: &str) -> Vec<u8> {
    let mut entry: Value = serde_json::from_slice(entry).unwrap();
    entry[field] = json!(u64::MAX);
    entry["address"] = json!("127.0.0.1:1");
    entry.to_string().into_bytes()
}

async fn start_fleet(deployment: &Deployment) -> Vec<RelayDaemon> {
    let mut relays = Vec::new();
    for name in ROUTERS {
        relays.push(deployment.relay_on(name).await);
    }
    relays
}

async fn serves(relay: &RelayDaemon, path: &str) -> bool {
    call(request(relay, path, "a")).await.status == StatusCode::OK
}

/// Waits until each router serves `path`, and sends to `replica` too.
async fn until_used(relays: &[RelayDaemon], path: &str, replica: &ReplicaStandin) {
    for relay in relays {
        let before = replica.runs().len();
        eventually("the router uses the upstream", async || {
            serves(relay, path).await && replica.runs().len() > before
        })
        .await;
    }
}

fn encoded(record: &UpstreamRecord) -> Vec<u8> {
    encode_upstream(record)
}

/// Guards against routers that end, or that follow a list no more, because of one entry in it.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_of_an_upstream_costs_only_itself() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let sound = deployment.replica("up-1", "v1").await;
    let mut relays = start_fleet(&deployment).await;
    let entry = encoded(&sound.record(UpstreamStage::Ready, 1));
    for (number, variant) in odd_variants(&entry).iter().enumerate() {
        deployment
            .store
            .put(UPSTREAM_TOPIC, &format!("odd-{number}"), variant);
    }
    deployment.store.put(UPSTREAM_TOPIC, "", &entry);
    let added = deployment.replica("up-2", "v1").await;
    until_used(&relays, "/letters/7", &added).await;
    until_used(&relays, "/letters/7", &sound).await;
    relays.push(deployment.relay_on("entry-4").await);
    until_used(&relays, "/letters/7", &added).await;
}

/// Guards against an upstream that is lost for good, because another writer wrote its entry once.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_whose_entry_was_odd_is_used_again_when_it_is_sound() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let _other = deployment.replica("up-1", "v1").await;
    let sound = deployment.replica("up-2", "v1").await;
    let relays = start_fleet(&deployment).await;
    until_used(&relays, "/letters/7", &sound).await;
    let entry = encoded(&sound.record(UpstreamStage::Ready, 1));
    for variant in odd_variants(&entry) {
        deployment.store.put(UPSTREAM_TOPIC, "up-2", &variant);
    }
    let last = ["sequence", "born"].map(|field| largest(&entry, field));
    for (number, variant) in last.iter().enumerate() {
        deployment.store.put(UPSTREAM_TOPIC, "up-2", variant);
        // Read after the odd entry, and before the sound one, which would else be all that a router sees.
        let marker = deployment.replica(&format!("marker-{number}"), "v1").await;
        until_used(&relays, "/letters/7", &marker).await;
    }
    sound.register(&deployment.store, UpstreamStage::Ready, 2);
    until_used(&relays, "/letters/7", &sound).await;
}

/// Guards against an odd configuration or order that stops routers from serving by the last sound one, or from following the next.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_of_the_operator_costs_only_itself() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let sound = deployment.replica("up-1", "v1").await;
    let relays = start_fleet(&deployment).await;
    let limits = &deployment.limits;
    let rules = [rule("/letters/", RunKind::Idempotent)];
    let config = encode_rules(1, limits, &rules, &[], &[]);
    for variant in odd_variants(&config) {
        deployment.store.put(OPERATOR_TOPIC, CONFIG_KEY, &variant);
    }
    let order = RolloutOrder {
        service: SERVICE.into(),
        target: "v2".into(),
        duration: Duration::from_secs(1),
    };
    let order = encode_order(&order);
    for (number, variant) in odd_variants(&order).iter().enumerate() {
        let key = format!("rollout/odd-{number}");
        deployment.store.put(OPERATOR_TOPIC, &key, variant);
    }
    deployment.configure(2, &[rule("/memos/", RunKind::Idempotent)]);
    until_used(&relays, "/memos/7", &sound).await;
}

/// Guards against a configuration with a time that no clock can hold.
#[tokio::test(flavor = "multi_thread")]
async fn a_rule_with_a_time_beyond_all_clocks_costs_no_request() {
    let deployment = Deployment::start().await;
    let _sound = deployment.replica("up-1", "v1").await;
    let endless = RouteRule {
        timeout: Duration::from_secs(1 << 60),
        target_latency: Duration::from_secs(1 << 60),
        event_gap: Some(Duration::from_secs(1 << 60)),
        ..rule("/letters/", RunKind::Idempotent)
    };
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let relay = deployment.relay().await;
    deployment.configure(2, &[endless, rule("/memos/", RunKind::Idempotent)]);
    // The time in which a change must be in force, with a reserve.
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        assert!(serves(&relay, "/letters/7").await);
        sleep(Duration::from_millis(50)).await;
    }
    deployment.configure(3, &[rule("/memos/", RunKind::Idempotent)]);
    eventually("the next configuration is in force", async || {
        serves(&relay, "/memos/7").await
    })
    .await;
}

/// Guards against one rule's odd field that keeps a whole configuration, and a key that it takes away, from coming into force.
#[tokio::test(flavor = "multi_thread")]
async fn a_rule_with_a_wide_priority_comes_into_force_with_the_rest() {
    let deployment = Deployment::start().await;
    let _sound = deployment.replica("up-1", "v1").await;
    let rules = [rule("/letters/", RunKind::Idempotent)];
    deployment.configure(1, &rules);
    let relays = start_fleet(&deployment).await;
    let config = encode_rules(2, &deployment.limits, &rules, &[], &[]);
    let config = with_field(&config, "/routes/0", "priority", json!(1000));
    deployment.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config);
    for relay in &relays {
        until_status(relay, "/letters/7", StatusCode::UNAUTHORIZED).await;
    }
}

/// Guards against a rule that cannot be read, which costs other rules or lets a shorter prefix take its requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_rule_that_cannot_be_read_refuses_its_requests_alone() {
    let deployment = Deployment::start().await;
    let _sound = deployment.replica("up-1", "v1").await;
    let paths = ["/letters/", "/letters/new/", "/memos/"];
    let rules = paths.map(|path| rule(path, RunKind::Idempotent));
    deployment.configure(1, &rules);
    let relays = start_fleet(&deployment).await;
    let config = deployment.configuration(2, &rules);
    let config = with_field(&config, "/routes/1", "attempts", json!("many"));
    deployment.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config);
    for relay in &relays {
        until_status(relay, "/letters/new/7", StatusCode::SERVICE_UNAVAILABLE).await;
        assert!(serves(relay, "/letters/7").await);
        assert!(serves(relay, "/memos/7").await);
    }
}

/// Guards against rules that are confirmed as current while a newer configuration could not be read.
#[tokio::test(flavor = "multi_thread")]
async fn rules_are_not_confirmed_while_the_newest_cannot_be_read() {
    let deployment = Deployment::start().await;
    let _sound = deployment.replica("up-1", "v1").await;
    let rules = [rule("/letters/", RunKind::Idempotent)];
    deployment.configure(1, &rules);
    let relays = start_fleet(&deployment).await;
    deployment
        .store
        .put(OPERATOR_TOPIC, CONFIG_KEY, b"{\"version\":2}");
    sleep(deployment.bounds.revocation).await;
    for relay in &relays {
        until_status(relay, "/letters/7", StatusCode::SERVICE_UNAVAILABLE).await;
        assert!(relay.status().newest_unreadable);
    }
    deployment.configure(3, &rules);
    for relay in &relays {
        until_status(relay, "/letters/7", StatusCode::OK).await;
        assert!(!relay.status().newest_unreadable);
    }
}

/// `entry` with the value `value` in `field` of the object at `pointer`.
fn with_field(entry: &[u8], pointer: &str, field: &str, value: Value) -> Vec<u8> {
    let mut entry: Value = serde_json::from_slice(entry).unwrap();
    entry.pointer_mut(pointer).unwrap()[field] = value;
    entry.to_string().into_bytes()
}

async fn until_status(relay: &RelayDaemon, path: &str, status: StatusCode) {
    eventually("the router answers with the status", async || {
        call(request(relay, path, "a")).await.status == status
    })
    .await;
}

/// Guards against odd entries among what the routers write for one another.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_in_the_routers_own_topics_costs_only_itself() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let sound = deployment.replica("up-1", "v1").await;
    let mut relays = start_fleet(&deployment).await;
    let deep = vec![0x81; DEPTH];
    let long = [0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    for (topic, key) in OWN_TOPICS {
        let status = RolloutStatus {
            order: 1,
            target: "v1".into(),
            phase: RolloutPhase::Completed,
            canary_share: 0.1,
        };
        let mut values = odd_variants(&encode_status(&status));
        values.extend([deep.clone(), long.to_vec(), vec![0xff], vec![0xa1, 0x61]]);
        for (number, value) in values.iter().enumerate() {
            deployment
                .store
                .put(topic, &format!("{key}-{number}"), value);
            deployment.store.put(topic, key, value);
        }
    }
    relays.push(deployment.relay_on("entry-4").await);
    deployment.configure(2, &[rule("/memos/", RunKind::Idempotent)]);
    let added = deployment.replica("up-2", "v1").await;
    until_used(&relays, "/memos/7", &added).await;
    until_used(&relays, "/memos/7", &sound).await;
}
