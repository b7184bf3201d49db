//! Relay processes that start in a deployment with many upstreams.

use std::path::Path;

use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_platform::entries::encode_upstream;
use ferry_platform::store::UPSTREAM_TOPIC;
use ferry_rig::{
    RelayFixture, RelayProcess, eventually, fixture_headers, fixture_request, fixture_rule,
};
use ferry_router::relay::STATUS_PATH;
use ferry_router::relay::status::RelayStatus;
use tokio::time::Duration;

/// Settings file of the platform's sample host.
const SAMPLE: &str = include_str!("../platform/tests/samples/host.toml");
/// Hosts, in the order of their hashes, so that each later one has a router to sync from.
const HOSTS: [&str; 3] = ["entry-3", "entry-2", "entry-1"];
/// Number of upstreams of a large deployment.
const MANY_UPSTREAMS: usize = 12_000;
/// Lowest number of pages of the store that their entries fill.
const PAGES: u64 = 24;
/// Timeout of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

async fn status(relay: &RelayProcess) -> RelayStatus {
    let url = format!("http://{}{STATUS_PATH}", relay.metrics());
    let client = HttpClient::default();
    let answer = client.fetch(HttpRequest::get(&url), CALL_TIMEOUT).await;
    serde_json::from_slice(&answer.unwrap()).unwrap()
}

/// Guards against routers that all list many upstreams at the store: 301 routers that started together
/// requested more than the store can send, and none became ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_asks_another_one_for_many_upstreams() {
    let fixture = RelayFixture::start().await.unwrap();
    fixture.configure(1, &[fixture_rule("/letters/", RunKind::Idempotent)]);
    let replica = fixture.start_replica("up-1", "v1").await.unwrap();
    for number in 0..MANY_UPSTREAMS {
        let mut record = replica.record(UpstreamStage::Ready, 1);
        record.incarnation.id = format!("other-{number}").as_str().into();
        record.service = "others".into();
        let id = record.incarnation.id.to_string();
        fixture
            .store
            .put(UPSTREAM_TOPIC, &id, &encode_upstream(&record));
    }
    let folder = tempfile::tempdir().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_ferry-relay"));
    let settings = SAMPLE.replace("drainMs = 2000", "drainMs = 600");
    let mut relays = Vec::new();
    let mut listed_pages = Vec::new();
    for host in HOSTS {
        let store = fixture.store.address();
        let relay = RelayProcess::start(program, folder.path(), &settings, host, store).unwrap();
        let ready = async || relay.is_ready().await.then_some(());
        eventually("the relay is ready", ready).await;
        relays.push(relay);
        listed_pages.push(fixture.store.listed_pages(UPSTREAM_TOPIC));
    }
    // A source whose loop is late is replaced by reads of what is new at the store for a time, so that one look is not enough.
    for relay in &relays[1..] {
        let synced = async || status(relay).await.fed.then_some(());
        eventually("the relay syncs from another router", synced).await;
    }
    listed_pages.push(fixture.store.listed_pages(UPSTREAM_TOPIC));
    assert!(listed_pages[0] >= PAGES, "the first router lists all");
    for pages in &listed_pages[1..] {
        assert_eq!(*pages, listed_pages[0], "another router listed them too");
    }
    for relay in &relays {
        let request = fixture_request(relay.callers(), "/letters/7", &fixture_headers("a"));
        let answer = HttpClient::default().send(request, CALL_TIMEOUT).await;
        assert_eq!(answer.unwrap().status(), 200);
    }
}
