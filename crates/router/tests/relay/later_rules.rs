//! A router that hears, in a message of another one, of later rules than it has itself.
//!
//! Load pattern: whatever the store holds, one router states a revision that no other one has.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::{HostName, Incarnation, ZoneName};
use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_decisions::sync::RouterEntry;
use ferry_platform::entries::CONFIG_KEY;
use ferry_platform::store::OPERATOR_TOPIC;
use ferry_router::peer::{
    PeerError, PeerHandler, PeerHub, PeerMessage, PeerSettings, PeerTopic, decode, encode,
};
use ferry_router::relay::RelayDaemon;
use futures::FutureExt;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use crate::deployment::{
    CollectedResponse, Deployment, call, eventually, is_ready, loopback, request, rule,
};

/// Topic of the routers' entries, and the key of their secret.
const ROUTER_TOPIC: &str = "keyed.routers";
const SECRET_KEY: &str = "secret";
/// Host of the router under test, and of the one that the test plays.
const HOST: &str = "entry-1";
const OTHER_HOST: &str = "entry-9";
/// Revision of the store's configuration, and the one that the other router has.
const STORED: u64 = 10;
const LATER: u64 = 99;
/// A configuration without what it must have.
const UNREADABLE_RULES: &[u8] = b"{\"version\":11}";
/// Timeout of a message to the router.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a router that hears of later rules must have them, or use its own no more: as a configuration's bound.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// A longer one, during which rules that were recent go on being used.
const LONG_APPLY_BOUND: Duration = Duration::from_secs(5);
/// Time after which rules that nobody can give out must count as lost.
const LOST_BOUND: Duration = Duration::from_secs(15);

/// A question about the rules in force, as one router sends it to another.
#[derive(Serialize, Deserialize)]
struct Question {
    wants_rules: bool,
    revision: Option<u64>,
}

/// An answer to it.
#[derive(Serialize, Deserialize)]
struct Answer {
    revision: Option<u64>,
    is_in_touch: bool,
    rules: Option<Bytes>,
    left: Vec<()>,
}

fn rules(prefixes: &[&str]) -> Vec<RouteRule> {
    let open = prefixes.iter().map(|prefix| RouteRule {
        public: true,
        ..rule(prefix, RunKind::Idempotent)
    });
    open.collect()
}

/// A router of the fleet that has `rules`, and gives them out if there are any.
async fn start_other(deployment: &Deployment, rules: Option<Bytes>) -> Arc<PeerHub> {
    let handler: PeerHandler = Arc::new(move |message: PeerMessage| {
        let question: Option<Question> = decode(&message.body).ok();
        let is_asked = message.topic == PeerTopic::Config
            && question.is_some_and(|question| question.wants_rules);
        let answer = rules.clone().filter(|_| is_asked).map(|rules| Answer {
            revision: Some(LATER),
            is_in_touch: true,
            rules: Some(rules),
            left: Vec::new(),
        });
        async move { answer.map(|answer| encode(&answer).unwrap()) }.boxed()
    });
    let secret = deployment.store.newest(ROUTER_TOPIC, SECRET_KEY).unwrap();
    let settings = PeerSettings {
        listen: loopback(),
        secret: String::from_utf8(secret).unwrap(),
        host: HostName::new(OTHER_HOST),
        zone: ZoneName::new("zone-b"),
        incarnation: Incarnation::random(),
    };
    PeerHub::start(settings, handler).await.unwrap()
}

/// Lets `other` state its revision to the router.
async fn state_revision(deployment: &Deployment, other: &Arc<PeerHub>) -> Answer {
    let key = format!("router/{HOST}");
    let entry = deployment.store.newest(ROUTER_TOPIC, &key).unwrap();
    let entry: RouterEntry = decode(&entry).unwrap();
    other.set_neighbours(&[(entry.host.clone(), entry.address)]);
    let question = Question {
        wants_rules: false,
        revision: Some(LATER),
    };
    let asking = async {
        loop {
            let answer: Result<Answer, PeerError> = other
                .send_query(&entry.host, PeerTopic::Config, &question, TIMEOUT)
                .await;
            match answer {
                Ok(answer) => return answer,
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    };
    timeout(TIMEOUT, asking).await.unwrap()
}

async fn start() -> (Deployment, RelayDaemon, ferry_standin::ReplicaStandin) {
    start_bound_by(APPLY_BOUND).await
}

/// A deployment in which configurations must be in force everywhere within `bound`.
async fn start_bound_by(
    bound: Duration,
) -> (Deployment, RelayDaemon, ferry_standin::ReplicaStandin) {
    let mut deployment = Deployment::start().await;
    deployment.bounds.config_apply = bound;
    deployment.configure(STORED, &rules(&["/letters/"]));
    let replica = deployment.replica("up-1", "v1").await;
    let relay = deployment.relay_on(HOST).await;
    (deployment, relay, replica)
}

async fn answer_to(relay: &RelayDaemon, path: &str) -> CollectedResponse {
    call(request(relay, path, "a")).await
}

/// Guards against a router that goes by the store's copy although another one tells it of later rules.
#[tokio::test]
async fn later_rules_are_fetched_from_the_router_that_states_them() {
    let (deployment, relay, _replica) = start().await;
    let later = deployment.configuration(LATER, &rules(&["/letters/", "/memos/"]));
    let other = start_other(&deployment, Some(later.into())).await;
    let answer = state_revision(&deployment, &other).await;
    assert_eq!(answer.revision, Some(STORED));
    assert!(answer.is_in_touch);
    let stated_at = Instant::now();
    eventually("the later rules are in force", async || {
        relay.status().revision == LATER
    })
    .await;
    let took = stated_at.elapsed();
    assert!(took <= APPLY_BOUND, "in force after {took:?}");
    assert_eq!(answer_to(&relay, "/memos/7").await.status, StatusCode::OK);
    assert!(is_ready(&relay).await);
}

/// Guards against requests that a router runs, or refuses as unknown, by rules that it knows to be replaced.
#[tokio::test]
async fn a_router_that_cannot_get_later_rules_refuses_all_requests_until_they_are_lost() {
    let (deployment, relay, _replica) = start().await;
    let other = start_other(&deployment, None).await;
    state_revision(&deployment, &other).await;
    let stated_at = Instant::now();
    let unknown = answer_to(&relay, "/memos/7").await;
    assert_eq!(unknown.status, StatusCode::SERVICE_UNAVAILABLE);
    sleep(APPLY_BOUND).await;
    for path in ["/letters/7", "/memos/7"] {
        let answer = answer_to(&relay, path).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(answer.headers.contains_key(RETRY_AFTER), "{path}");
    }
    assert!(!is_ready(&relay).await);
    assert_eq!(relay.status().missing_revision, Some(LATER));
    eventually("the router serves again", async || {
        answer_to(&relay, "/letters/7").await.status == StatusCode::OK
    })
    .await;
    assert!(stated_at.elapsed() <= LOST_BOUND);
    eventually("unknown routes are refused as unknown", async || {
        answer_to(&relay, "/memos/7").await.status == StatusCode::NOT_FOUND
    })
    .await;
}

/// Guards against a fleet that refuses requests each time that one router is a moment ahead, although the rules of the others are still allowed.
#[tokio::test]
async fn a_router_that_lacks_later_rules_serves_while_its_own_are_recent() {
    let (deployment, relay, _replica) = start_bound_by(LONG_APPLY_BOUND).await;
    let other = start_other(&deployment, None).await;
    state_revision(&deployment, &other).await;
    sleep(APPLY_BOUND).await;
    assert_eq!(relay.status().missing_revision, Some(LATER));
    let answer = answer_to(&relay, "/letters/7").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(is_ready(&relay).await);
    sleep(LONG_APPLY_BOUND - APPLY_BOUND).await;
    let answer = answer_to(&relay, "/letters/7").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a router that comes back from being cut off and goes on for a time by rules of which it knows that they are replaced.
#[tokio::test]
async fn a_router_with_old_rules_refuses_at_once_when_it_hears_of_later_ones() {
    let (deployment, relay, _replica) = start().await;
    let other = start_other(&deployment, None).await;
    deployment.fail_reads(true);
    eventually("the rules are old", async || {
        relay.status().rules_age_ms > APPLY_BOUND.as_millis() as u64
    })
    .await;
    let answer = answer_to(&relay, "/letters/7").await;
    assert_eq!(answer.status, StatusCode::OK, "nobody has later rules");
    state_revision(&deployment, &other).await;
    let answer = answer_to(&relay, "/letters/7").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against rules of another router that hide that the store holds newer ones, which nobody can read.
#[tokio::test]
async fn fetched_rules_are_not_confirmed_while_the_newest_cannot_be_read() {
    let (deployment, relay, _replica) = start().await;
    deployment
        .store
        .put(OPERATOR_TOPIC, CONFIG_KEY, UNREADABLE_RULES);
    eventually("the newest rules cannot be read", async || {
        relay.status().newest_unreadable
    })
    .await;
    let later = deployment.configuration(LATER, &rules(&["/letters/"]));
    let other = start_other(&deployment, Some(later.into())).await;
    state_revision(&deployment, &other).await;
    eventually("the later rules are in force", async || {
        relay.status().revision == LATER
    })
    .await;
    assert!(relay.status().newest_unreadable);
    let age = relay.status().rules_age_ms;
    sleep(APPLY_BOUND).await;
    assert!(relay.status().rules_age_ms > age, "they were confirmed");
    deployment.configure(LATER + 1, &rules(&["/letters/"]));
    eventually("rules are confirmed again", async || {
        !relay.status().newest_unreadable && is_ready(&relay).await
    })
    .await;
}
