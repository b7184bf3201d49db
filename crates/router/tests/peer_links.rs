//! Links between routers over loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ferry_decisions::names::{HostName, Incarnation, ZoneName};
use ferry_rig::LinkProxy;
use ferry_router::peer::{
    PROTOCOL_VERSION, PeerError, PeerHandler, PeerHub, PeerIdentity, PeerMessage, PeerSettings,
    PeerTopic, ReplyTimes, decode, encode,
};
use futures::future::{FutureExt, join_all};
use futures::{SinkExt, StreamExt};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which an answer must come although the open link has gone silent.
const SILENCE_BOUND: Duration = Duration::from_millis(1_500);
/// Size of a large answer, and the speed of a link over which it takes longer than a link may be silent.
const LARGE_ANSWER: usize = 800_000;
const SLOW_BYTES_PER_S: u64 = 400_000;

fn settings(host: &str, secret: &str) -> PeerSettings {
    PeerSettings {
        listen: "127.0.0.1:0".parse().unwrap(),
        secret: secret.to_owned(),
        host: HostName::new(host),
        zone: ZoneName::new("nasr-hall"),
        incarnation: Incarnation::random(),
    }
}

/// A handler that answers a number with its double, and the stream of all messages it received.
fn doubling_handler() -> (PeerHandler, mpsc::UnboundedReceiver<PeerMessage>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let handler: PeerHandler = Arc::new(move |message: PeerMessage| {
        let number: Option<u64> = decode(&message.body).ok();
        let _ = sender.send(message);
        async move { number.map(|number| encode(&(number * 2)).unwrap()) }.boxed()
    });
    (handler, receiver)
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    tokio::time::timeout(TEST_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the condition becomes true in time");
}

#[tokio::test]
async fn delivers_notices_in_order_and_answers_queries() {
    let (handler, mut received) = doubling_handler();
    let a = PeerHub::start(settings("a", "s"), doubling_handler().0)
        .await
        .unwrap();
    let b = PeerHub::start(settings("b", "s"), handler).await.unwrap();
    let to = HostName::new("b");
    a.set_neighbours(&[(to.clone(), b.address())]);
    wait_until(|| a.connected() == [to.clone()]).await;

    for number in 0..100_u64 {
        a.notify(&to, PeerTopic::Guard, &number).unwrap();
    }
    a.broadcast(PeerTopic::Guard, &100_u64);
    for number in 0..=100_u64 {
        let message = received.recv().await.unwrap();
        assert_eq!(message.from, HostName::new("a"));
        assert_eq!(decode::<u64>(&message.body).unwrap(), number);
    }
    let doubled: u64 = a
        .send_query(&to, PeerTopic::Claims, &21_u64, TEST_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(doubled, 42);

    // The accepting router sends on the accepted link as long as it has not dialled itself.
    wait_until(|| !b.connected().is_empty()).await;
    let back = HostName::new("a");
    let doubled: u64 = b
        .send_query(&back, PeerTopic::Claims, &4_u64, TEST_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(doubled, 8);
    a.stop().await;
    b.stop().await;
    assert!(a.connected().is_empty());
}

/// First message of a link, encoded as a program outside the fleet would send it.
#[derive(Serialize)]
struct ForgedHello {
    protocol: u32,
    identity: PeerIdentity,
    nonce: uuid::Uuid,
}

#[derive(Serialize)]
struct ForgedProof {
    proof: Bytes,
}

fn forged_hello(protocol: u32) -> Message {
    let identity = PeerIdentity::of(&settings("a", "unused"));
    let nonce = uuid::Uuid::new_v4();
    let hello = ForgedHello {
        protocol,
        identity,
        nonce,
    };
    Message::Binary(encode(&hello).unwrap())
}

/// Sends `messages` over a raw socket; returns once the hub has closed it.
async fn send_raw(hub: &PeerHub, messages: Vec<Message>) {
    let stream = TcpStream::connect(hub.address()).await.unwrap();
    let url = format!("ws://{}/peer", hub.address());
    let (mut socket, _) = client_async(url, stream).await.unwrap();
    for message in messages {
        let _ = socket.send(message).await;
    }
    let closed = async { while let Some(Ok(_)) = socket.next().await {} };
    tokio::time::timeout(TEST_TIMEOUT, closed)
        .await
        .expect("the hub closes the socket");
}

#[tokio::test]
async fn refuses_peers_without_the_secret_and_malformed_messages() {
    let (handler, mut received) = doubling_handler();
    let hub = PeerHub::start(settings("b", "right"), handler)
        .await
        .unwrap();
    let proof = Bytes::from_static(&[7; 32]);
    let proof = Message::Binary(encode(&ForgedProof { proof }).unwrap());
    let garbage = Message::Binary(Bytes::from_static(b"\xff\x00garbage"));
    let notice = Message::Binary(encode(&("notice", 1_u64)).unwrap());
    let attempts = [
        vec![forged_hello(PROTOCOL_VERSION), proof, notice.clone()],
        vec![forged_hello(PROTOCOL_VERSION + 1)],
        vec![garbage],
        vec![Message::text("hello")],
        vec![notice],
        vec![Message::Binary(vec![0; 5 * 1_024 * 1_024].into())],
    ];
    for attempt in attempts {
        send_raw(&hub, attempt).await;
        assert!(hub.connected().is_empty());
    }

    let wrong = PeerHub::start(settings("a", "wrong"), doubling_handler().0)
        .await
        .unwrap();
    let to = HostName::new("b");
    wrong.set_neighbours(&[(to.clone(), hub.address())]);
    let error = wrong.notify(&to, PeerTopic::Config, &1_u64).unwrap_err();
    assert!(matches!(&error, PeerError::NotConnected(_)));
    assert!(error.is_undelivered());
    wrong.stop().await;
    hub.stop().await;
    assert!(received.try_recv().is_err());
}

#[tokio::test]
async fn survives_a_handler_that_panics() {
    let panicking: PeerHandler = Arc::new(|message: PeerMessage| {
        let number: u64 = decode(&message.body).unwrap();
        assert!(number != 13, "the handler panics as this test requires");
        async move { Some(message.body) }.boxed()
    });
    let a = PeerHub::start(settings("a", "s"), doubling_handler().0)
        .await
        .unwrap();
    let b = PeerHub::start(settings("b", "s"), panicking).await.unwrap();
    let to = HostName::new("b");
    a.set_neighbours(&[(to.clone(), b.address())]);
    wait_until(|| !a.connected().is_empty()).await;
    a.notify(&to, PeerTopic::Hosts, &13_u64).unwrap();
    let error = a
        .send_query::<_, u64>(&to, PeerTopic::Hosts, &13_u64, TEST_TIMEOUT)
        .await;
    assert!(matches!(error, Err(PeerError::Unanswered(_))));
    let echoed: u64 = a
        .send_query(&to, PeerTopic::Hosts, &1_u64, TEST_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(echoed, 1);
    a.stop().await;
    b.stop().await;
}

#[tokio::test]
async fn redials_a_neighbour_that_restarts() {
    let (handler, mut received) = doubling_handler();
    let a = PeerHub::start(settings("a", "s"), doubling_handler().0)
        .await
        .unwrap();
    let b = PeerHub::start(settings("b", "s"), doubling_handler().0)
        .await
        .unwrap();
    let to = HostName::new("b");
    let address = b.address();
    a.set_neighbours(&[(to.clone(), address)]);
    wait_until(|| !a.connected().is_empty()).await;
    b.stop().await;
    drop(b);
    wait_until(|| a.connected().is_empty()).await;

    let mut restarted = settings("b", "s");
    restarted.listen = address;
    let b = PeerHub::start(restarted, handler).await.unwrap();
    wait_until(|| !a.connected().is_empty()).await;
    a.notify(&to, PeerTopic::Bills, &7_u64).unwrap();
    let message = received.recv().await.unwrap();
    assert_eq!(decode::<u64>(&message.body).unwrap(), 7);
    a.stop().await;
    b.stop().await;
}

#[tokio::test]
async fn reports_whether_a_query_may_have_been_delivered() {
    let failing: PeerHandler = Arc::new(|message: PeerMessage| {
        async move {
            match message.topic {
                PeerTopic::Claims => std::future::pending().await,
                PeerTopic::Load => Some(Bytes::from_static(b"\xff")),
                _ => None,
            }
        }
        .boxed()
    });
    let a = PeerHub::start(settings("a", "s"), doubling_handler().0)
        .await
        .unwrap();
    let b = PeerHub::start(settings("b", "s"), failing).await.unwrap();
    let to = HostName::new("b");
    a.set_neighbours(&[(to.clone(), b.address())]);
    wait_until(|| !a.connected().is_empty()).await;

    let short = Duration::from_millis(50);
    let error = a
        .send_query::<_, u64>(&to, PeerTopic::Claims, &1_u64, short)
        .await;
    assert!(matches!(error, Err(PeerError::TimedOut(_))));
    assert!(!error.unwrap_err().is_undelivered());
    let error = a
        .send_query::<_, u64>(&to, PeerTopic::Limits, &1_u64, TEST_TIMEOUT)
        .await;
    assert!(matches!(error, Err(PeerError::Unanswered(_))));
    let error = a
        .send_query::<_, u64>(&to, PeerTopic::Load, &1_u64, TEST_TIMEOUT)
        .await;
    assert!(matches!(error, Err(PeerError::BadAnswer { .. })));
    let large = vec![0_u64; 5 * 1_024 * 1_024];
    let error = a.notify(&to, PeerTopic::Config, &large).unwrap_err();
    assert!(matches!(error, PeerError::TooLarge { .. }));

    let pending_query = a.send_query::<_, u64>(&to, PeerTopic::Claims, &1_u64, TEST_TIMEOUT);
    let (error, ()) = tokio::join!(pending_query, async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        b.stop().await;
    });
    assert!(matches!(error, Err(PeerError::LinkLost(_))));
    a.stop().await;
}

#[tokio::test]
async fn dials_from_own_address_and_dials_non_neighbours_on_demand() {
    let mut own = settings("a", "s");
    own.listen = "127.0.0.9:0".parse().unwrap();
    let a = PeerHub::start(own, doubling_handler().0).await.unwrap();
    let b = PeerHub::start(settings("b", "s"), doubling_handler().0)
        .await
        .unwrap();
    let to = HostName::new("b");
    let unknown = a
        .send_query::<_, u64>(&to, PeerTopic::Claims, &1_u64, TEST_TIMEOUT)
        .await;
    assert!(matches!(unknown, Err(PeerError::NotConnected(_))));

    a.set_directory(&[(to.clone(), b.address())]);
    assert!(a.connected().is_empty());
    let queries = (0..8_u64).map(|number| {
        let (a, to) = (&a, &to);
        async move {
            a.send_query::<_, u64>(to, PeerTopic::Claims, &number, TEST_TIMEOUT)
                .await
        }
    });
    let answers = futures::future::join_all(queries).await;
    for (number, answer) in (0..8_u64).zip(answers) {
        assert_eq!(answer.unwrap(), number * 2);
    }
    assert_eq!(a.connected(), [to]);
    a.stop().await;
    b.stop().await;

    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut own = settings("c", "s");
    own.listen = "127.0.0.9:0".parse().unwrap();
    let c = PeerHub::start(own, doubling_handler().0).await.unwrap();
    c.set_neighbours(&[(HostName::new("d"), listener.local_addr().unwrap())]);
    let (_, source) = listener.accept().await.unwrap();
    assert_eq!(source.ip(), c.address().ip());
    c.stop().await;
}

/// Two routers, the first of which reaches the second one through a proxy.
async fn start_proxied() -> (Arc<PeerHub>, Arc<PeerHub>, LinkProxy, HostName) {
    let (handler, _received) = doubling_handler();
    let a = PeerHub::start(settings("a", "s"), doubling_handler().0);
    let b = PeerHub::start(settings("b", "s"), handler);
    let (a, b) = (a.await.unwrap(), b.await.unwrap());
    let proxy = LinkProxy::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    proxy.set_target(b.address());
    let host = HostName::new("b");
    a.set_directory(&[(host.clone(), proxy.address)]);
    (a, b, proxy, host)
}

/// Guards against queries that go on over a connection that has gone silent, until the link's own timeout.
#[tokio::test]
async fn a_query_after_one_on_a_silent_link_uses_a_new_one() {
    let (a, _b, proxy, host) = start_proxied().await;
    let times = ReplyTimes {
        silence: Duration::from_millis(600),
        total: TEST_TIMEOUT,
    };
    let doubled = a.send_query(&host, PeerTopic::Claims, &21_u64, times).await;
    assert_eq!(doubled.unwrap_or(0_u64), 42);
    proxy.silence();
    let begun_at = Instant::now();
    let silent: Result<u64, _> = a.send_query(&host, PeerTopic::Claims, &21_u64, times).await;
    assert!(
        matches!(silent, Err(PeerError::NothingCame(_))),
        "{silent:?}"
    );
    let doubled = a.send_query(&host, PeerTopic::Claims, &4_u64, times).await;
    assert_eq!(doubled.unwrap_or(0_u64), 8);
    assert!(
        begun_at.elapsed() < SILENCE_BOUND,
        "{:?}",
        begun_at.elapsed()
    );
}

/// Time in which a query to a host that doesn't answer fails: that of one dial, with a margin.
const DIAL_BOUND: Duration = Duration::from_millis(2_200);
/// Number of queries to it, and the time between two.
const DEAD_QUERIES: u32 = 6;
const DEAD_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of other hosts that don't answer.
const DEAD_HOSTS: usize = 40;
/// Time in which a host that answers is linked meanwhile.
const LIVE_BOUND: Duration = Duration::from_secs(1);

/// Address at which connections are accepted and never served.
async fn start_dead_host() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    address
}

/// Guards against queries to a host that doesn't answer which wait in line, each for a dial of its own, the feed among them (CONFIG).
#[tokio::test]
async fn queries_to_a_host_that_does_not_answer_share_one_dial() {
    let a = PeerHub::start(settings("a", "s"), doubling_handler().0);
    let a = a.await.unwrap();
    let host = HostName::new("dead");
    a.set_directory(&[(host.clone(), start_dead_host().await)]);
    let queries = (0..DEAD_QUERIES).map(|number| {
        let (a, host) = (Arc::clone(&a), host.clone());
        async move {
            tokio::time::sleep(DEAD_QUERY_INTERVAL * number).await;
            let begun_at = Instant::now();
            let topic = PeerTopic::Claims;
            let result: Result<u64, _> = a.send_query(&host, topic, &1_u64, TEST_TIMEOUT).await;
            (result, begun_at.elapsed())
        }
    });
    for (result, time) in join_all(queries).await {
        let error = result.unwrap_err();
        assert!(matches!(error, PeerError::Unreached { .. }), "{error}");
        assert!(error.is_undelivered());
        assert!(time < DIAL_BOUND, "failed after {time:?}");
    }
}

/// Time in which a query fails while the failure of a dial is remembered.
const AT_ONCE: Duration = Duration::from_millis(200);

/// Guards against callers that each dial a host once more which has just not answered, and wait for it.
#[tokio::test]
async fn a_host_that_did_not_answer_is_not_dialled_again_for_a_moment() {
    let (a, _b, proxy, host) = start_proxied().await;
    proxy.stall();
    let query = async || -> Result<u64, PeerError> {
        let topic = PeerTopic::Claims;
        a.send_query(&host, topic, &21_u64, TEST_TIMEOUT).await
    };
    assert!(query().await.is_err());
    let begun_at = Instant::now();
    let error = query().await.unwrap_err();
    assert!(begun_at.elapsed() < AT_ONCE, "{:?}", begun_at.elapsed());
    assert!(matches!(error, PeerError::Unreached { .. }), "{error}");

    proxy.heal();
    let healed_at = Instant::now();
    while query().await.is_err() {
        assert!(healed_at.elapsed() < DIAL_BOUND, "the host is not dialled");
        tokio::time::sleep(DEAD_QUERY_INTERVAL).await;
    }
}

/// Guards against a router that is away for a moment and can't be asked although it has opened a link itself.
#[tokio::test]
async fn a_host_that_opens_a_link_itself_is_reached_at_once() {
    let (a, b, proxy, host) = start_proxied().await;
    proxy.stall();
    let silent: Result<u64, _> = a
        .send_query(&host, PeerTopic::Claims, &21_u64, TEST_TIMEOUT)
        .await;
    assert!(silent.is_err());
    b.set_neighbours(&[(HostName::new("a"), a.address())]);
    wait_until(|| a.connected() == [host.clone()]).await;
    let begun_at = Instant::now();
    let doubled = a.send_query(&host, PeerTopic::Claims, &4_u64, TEST_TIMEOUT);
    assert_eq!(doubled.await.unwrap_or(0_u64), 8);
    assert!(begun_at.elapsed() < AT_ONCE, "{:?}", begun_at.elapsed());
}

/// Guards against a query to a host that answers which waits for the dial of another one.
#[tokio::test]
async fn a_query_does_not_wait_for_the_dial_of_another_host() {
    let a = PeerHub::start(settings("a", "s"), doubling_handler().0);
    let b = PeerHub::start(settings("b", "s"), doubling_handler().0);
    let (a, b) = (a.await.unwrap(), b.await.unwrap());
    let dead = start_dead_host().await;
    let mut hosts: Vec<_> = (0..DEAD_HOSTS)
        .map(|number| (HostName::new(&format!("dead-{number}")), dead))
        .collect();
    let live = HostName::new("b");
    hosts.push((live.clone(), b.address()));
    a.set_directory(&hosts);
    for (host, _) in &hosts[..DEAD_HOSTS] {
        let (a, host) = (Arc::clone(&a), host.clone());
        tokio::spawn(async move {
            let topic = PeerTopic::Claims;
            let _: Result<u64, _> = a.send_query(&host, topic, &1_u64, TEST_TIMEOUT).await;
        });
    }
    tokio::time::sleep(DEAD_QUERY_INTERVAL).await;
    let begun_at = Instant::now();
    let doubled = a.send_query(&live, PeerTopic::Claims, &21_u64, TEST_TIMEOUT);
    assert_eq!(doubled.await.unwrap_or(0_u64), 42);
    assert!(begun_at.elapsed() < LIVE_BOUND, "{:?}", begun_at.elapsed());
}

/// Guards against a large answer over a slow link that is given up, and asked for again from its beginning, for ever.
#[tokio::test]
async fn an_answer_that_goes_on_coming_is_waited_for() {
    let handler: PeerHandler =
        Arc::new(|_| async { Some(encode(&large_answer()).unwrap()) }.boxed());
    let a = PeerHub::start(settings("a", "s"), doubling_handler().0);
    let b = PeerHub::start(settings("b", "s"), handler);
    let (a, b) = (a.await.unwrap(), b.await.unwrap());
    let proxy = LinkProxy::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    proxy.set_target(b.address());
    proxy.limit_speed(SLOW_BYTES_PER_S);
    let host = HostName::new("b");
    a.set_directory(&[(host.clone(), proxy.address)]);
    let times = ReplyTimes {
        silence: Duration::from_millis(600),
        total: TEST_TIMEOUT,
    };
    let begun_at = Instant::now();
    let answer: Bytes = a
        .send_query(&host, PeerTopic::Claims, &1_u64, times)
        .await
        .unwrap();
    assert_eq!(answer.len(), LARGE_ANSWER);
    assert!(
        begun_at.elapsed() > times.silence * 2,
        "the link is not slow"
    );
}

fn large_answer() -> Bytes {
    vec![7; LARGE_ANSWER].into()
}

/// Guards against a topic that builds before it don't know: they close the link on which it arrives, so that their feed and permits break off.
#[test]
fn reports_of_load_have_a_topic_that_earlier_builds_know() {
    let name = encode(&PeerTopic::Load).unwrap();
    assert_eq!(name, encode(&"trail").unwrap());
}
