//! Calls to the store over connections that go silent, and over slow links.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use ferry_platform::entries::CONFIG_KEY;
use ferry_platform::store::{OPERATOR_TOPIC, ReadQuery, StoreClient, TopicPartition};
use ferry_rig::LinkProxy;
use ferry_standin::StoreStandin;
use futures::future::join_all;

/// Time in which an answer must begin.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Size of a large record, and the speed of a link over which it takes longer than an answer may take to begin.
const LARGE_RECORD: usize = 200_000;
const SLOW_BYTES_PER_S: u64 = 200_000;
/// Number of calls at the same time, each of which leaves a connection that is used again.
const CALLS: usize = 4;

async fn start() -> (StoreStandin, LinkProxy, StoreClient) {
    let listen = (Ipv4Addr::LOCALHOST, 0).into();
    let store = StoreStandin::start(listen).await.unwrap();
    let proxy = LinkProxy::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    proxy.set_target(store.address());
    let client = StoreClient::new(proxy.address, TIMEOUT);
    (store, proxy, client)
}

async fn read(client: &StoreClient) -> Option<usize> {
    let query = ReadQuery {
        from: 0,
        wait: Duration::ZERO,
        most_bytes: LARGE_RECORD * 2,
    };
    let read = client
        .read(TopicPartition::only(OPERATOR_TOPIC), query)
        .await;
    read.ok().map(|(_, batch)| batch.records.len())
}

/// Guards against calls that one after the other try connections which have all gone silent.
#[tokio::test]
async fn one_call_at_most_is_lost_to_connections_that_went_silent() {
    let (store, proxy, client) = start().await;
    store.put(OPERATOR_TOPIC, CONFIG_KEY, b"1");
    let answered = join_all((0..CALLS).map(|_| read(&client))).await;
    assert_eq!(answered, [Some(1); CALLS]);
    proxy.silence();
    assert_eq!(read(&client).await, None, "no connection is silent");
    let answered = join_all((0..CALLS).map(|_| read(&client))).await;
    assert_eq!(answered, [Some(1); CALLS]);
}

/// Guards against a large record that a small host reads from its beginning again and again (CONFIG).
#[tokio::test]
async fn an_answer_that_goes_on_coming_is_read_to_its_end() {
    let (store, proxy, client) = start().await;
    store.put(OPERATOR_TOPIC, CONFIG_KEY, &vec![7; LARGE_RECORD]);
    proxy.limit_speed(SLOW_BYTES_PER_S);
    let begun_at = Instant::now();
    assert_eq!(read(&client).await, Some(1));
    assert!(begun_at.elapsed() > TIMEOUT, "the link is not slow");
}
