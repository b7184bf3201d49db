//! Roll-outs over two relays that exchange evidence, and the versions that conversations get.

use std::time::Duration;

use ferry_decisions::names::ServiceName;
use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::rollout::{RolloutOrder, RolloutPhase};
use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_platform::entries::{decode_status, encode_order, rollout_key};
use ferry_platform::headers::CallerHeaders;
use ferry_platform::store::{OPERATOR_TOPIC, STATUS_TOPIC};
use ferry_router::relay::RelayDaemon;
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use hyper::StatusCode;

use crate::deployment::{Deployment, KEY, SERVICE, call, eventually, request_with, rule};

/// Duration ordered for the roll-outs, within which they must be completed.
const ROLLOUT_DURATION: Duration = Duration::from_secs(8);
/// Number of requests sent at once through each relay.
const WAVE_SIZE: usize = 12;
/// Number of conversations in which a test sends one request each at the same time.
const CONVERSATION_COUNT: usize = 90;

fn place_order(deployment: &Deployment) {
    let order = RolloutOrder {
        service: SERVICE.into(),
        target: "v2".into(),
        duration: ROLLOUT_DURATION,
    };
    let key = rollout_key(&order.service);
    deployment
        .store
        .put(OPERATOR_TOPIC, &key, &encode_order(&order));
}

fn stored_phase(deployment: &Deployment) -> Option<RolloutPhase> {
    let key = rollout_key(&ServiceName::new(SERVICE));
    let value = deployment.store.newest(STATUS_TOPIC, &key)?;
    Some(decode_status(&value).unwrap().phase)
}

/// Sends waves of requests, each in a new conversation, until the roll-out has ended or twice its duration has
/// passed; returns the last phase.
async fn send_until_final(deployment: &Deployment, relays: &[RelayDaemon]) -> Option<RolloutPhase> {
    let until = tokio::time::Instant::now() + 2 * ROLLOUT_DURATION;
    let mut number = 0;
    while tokio::time::Instant::now() < until {
        let mut wave = Vec::new();
        for relay in relays {
            for _ in 0..WAVE_SIZE {
                number += 1;
                let id = format!("a-{number}");
                let headers = CallerHeaders {
                    attempt_id: &id,
                    key: Some(KEY),
                    session: Some(&id),
                    ..CallerHeaders::default()
                };
                wave.push(tokio::spawn(call(request_with(relay, "/chat/7", &headers))));
            }
        }
        for answer in wave {
            assert_eq!(answer.await.unwrap().status, StatusCode::OK);
        }
        if let Some(last) = stored_phase(deployment).filter(|phase| phase.is_final()) {
            return Some(last);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    stored_phase(deployment)
}

async fn start_fleet(target: ReplicaPlan) -> (Deployment, Vec<RelayDaemon>, ReplicaStandin) {
    let rules = [
        rule("/chat/", RunKind::Idempotent),
        rule("/once/", RunKind::Once),
    ];
    start_versions(&rules, &ReplicaPlan::default(), target).await
}

async fn start_streams(
    base: &ReplicaPlan,
    target: ReplicaPlan,
) -> (Deployment, Vec<RelayDaemon>, ReplicaStandin) {
    let rules = [rule("/chat/", RunKind::ResumableStream)];
    start_versions(&rules, base, target).await
}

async fn start_versions(
    rules: &[RouteRule],
    base: &ReplicaPlan,
    target: ReplicaPlan,
) -> (Deployment, Vec<RelayDaemon>, ReplicaStandin) {
    let (deployment, _) = start_old_versions(rules, base).await;
    order_version(deployment, target).await
}

async fn start_old_versions(
    rules: &[RouteRule],
    base: &ReplicaPlan,
) -> (Deployment, Vec<ReplicaStandin>) {
    let deployment = Deployment::start().await;
    deployment.configure(1, rules);
    let old = deployment.replicas(["old-1", "old-2"], base).await;
    (deployment, old)
}

/// Starts two relays, orders the roll-out, and starts an upstream of the new version.
async fn order_version(
    deployment: Deployment,
    target: ReplicaPlan,
) -> (Deployment, Vec<RelayDaemon>, ReplicaStandin) {
    let relays = vec![deployment.relay().await, deployment.relay().await];
    place_order(&deployment);
    let candidate = deployment.replica("new-1", "v2").await;
    candidate.plan(target);
    (deployment, relays, candidate)
}

#[tokio::test]
async fn a_healthy_version_is_completed_in_time() {
    let (deployment, relays, candidate) = start_fleet(ReplicaPlan::default()).await;
    let started_at = tokio::time::Instant::now();
    let last = send_until_final(&deployment, &relays).await;
    assert_eq!(last, Some(RolloutPhase::Completed));
    assert!(started_at.elapsed() <= ROLLOUT_DURATION + Duration::from_millis(500));
    assert!(!candidate.runs().is_empty());
}

#[tokio::test]
async fn a_version_that_fails_is_reverted_and_its_failures_reach_no_caller() {
    let failing = ReplicaPlan {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        ..ReplicaPlan::default()
    };
    let (deployment, relays, candidate) = start_fleet(failing).await;
    let last = send_until_final(&deployment, &relays).await;
    assert_eq!(last, Some(RolloutPhase::Reverted));
    let exposed = candidate.runs().len();
    assert!(
        exposed < 50,
        "{exposed} requests were sent to the failing version"
    );
}

/// Guards against evidence that ends at the head of an answer: a version whose streams went on eight times slower was
/// completed.
#[tokio::test]
async fn a_version_whose_streams_are_slow_is_reverted() {
    let stream = ReplicaPlan {
        events: 10,
        gap: Duration::from_millis(10),
        ..ReplicaPlan::default()
    };
    let slow = ReplicaPlan {
        gap: stream.gap * 8,
        ..stream.clone()
    };
    let (deployment, relays, candidate) = start_streams(&stream, slow).await;
    let last = send_until_final(&deployment, &relays).await;
    assert_eq!(last, Some(RolloutPhase::Reverted));
    let exposed = candidate.runs().len();
    assert!(
        exposed < 100,
        "{exposed} requests were sent to the slow version"
    );
}

/// Guards against evidence that waits for an answer: a version that answered none in time was held for good until its first
/// answers came.
#[tokio::test]
async fn a_version_whose_answers_are_overdue_is_reverted() {
    let overdue = ReplicaPlan {
        wait: Duration::from_secs(6),
        ..ReplicaPlan::default()
    };
    let (deployment, relays, candidate) = start_fleet(overdue).await;
    let started_at = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for number in 0.. {
        let relay = &relays[number % relays.len()];
        let id = format!("b-{number}");
        let headers = CallerHeaders {
            attempt_id: &id,
            key: Some(KEY),
            session: Some(&id),
            ..CallerHeaders::default()
        };
        calls.push(tokio::spawn(call(request_with(relay, "/once/7", &headers))));
        tokio::time::sleep(Duration::from_millis(10)).await;
        let is_final = stored_phase(&deployment).is_some_and(RolloutPhase::is_final);
        if is_final || started_at.elapsed() > ROLLOUT_DURATION {
            break;
        }
    }
    assert_eq!(stored_phase(&deployment), Some(RolloutPhase::Reverted));
    let took = started_at.elapsed();
    assert!(took < Duration::from_secs(5), "reverted after {took:?}");
    assert!(candidate.runs().len() < 100);
}

/// Guards against a version whose fault shows only under load, or not at all: it had all traffic for a third of the roll-out.
#[tokio::test]
async fn a_version_gets_no_more_requests_until_its_deadline_than_a_bad_one_may() {
    let rules = [rule("/chat/", RunKind::Idempotent)];
    let plan = ReplicaPlan::default();
    let (fleet, old) = start_old_versions(&rules, &plan).await;
    let (deployment, relays, candidate) = order_version(fleet, plan).await;
    let ordered_at = tokio::time::Instant::now();
    let last = send_until_final(&deployment, &relays).await;
    assert_eq!(last, Some(RolloutPhase::Completed));
    let deadline = ordered_at + ROLLOUT_DURATION;
    let old = old.iter().flat_map(ReplicaStandin::runs);
    let old = old.filter(|run| run.at < deadline).count();
    let exposed = candidate
        .runs()
        .iter()
        .filter(|run| run.at < deadline)
        .count();
    let allowed = (old + exposed) as f64 * deployment.bounds.exposure_share
        + deployment.bounds.exposure_tolerance;
    assert!(
        exposed as f64 <= allowed,
        "{exposed} requests of {}",
        old + exposed
    );
}

/// Sends one request in each of `count` conversations named after `name`; returns how many ran on `target`.
async fn send_conversations(
    relay: &RelayDaemon,
    name: &str,
    count: usize,
    target: &ReplicaStandin,
) -> usize {
    let before = target.runs().len();
    let mut calls = Vec::new();
    for number in 0..count {
        let session = format!("{name}-{number}");
        let id = format!("{session}-{before}-{}", rand::random::<u32>());
        let headers = CallerHeaders {
            attempt_id: &id,
            key: Some(KEY),
            session: Some(&session),
            ..CallerHeaders::default()
        };
        calls.push(tokio::spawn(call(request_with(relay, "/chat/7", &headers))));
    }
    for answer in calls {
        assert_eq!(answer.await.unwrap().status, StatusCode::OK);
    }
    target.runs().len() - before
}

/// Guards against moving conversations to the new version too early: they were moved if their last request began
/// before the order and either ended after it or lasted longer than the longest pause within a conversation.
#[tokio::test]
async fn a_conversation_that_began_before_the_order_keeps_its_version() {
    let mut deployment = Deployment::start().await;
    deployment.bounds.session_gap = Duration::from_millis(1_500);
    deployment.configure(1, &[rule("/chat/", RunKind::Idempotent)]);
    let slow = ReplicaPlan {
        wait: Duration::from_millis(1_800),
        ..ReplicaPlan::default()
    };
    let old = deployment.replica("up-1", "v1").await;
    old.plan(slow);
    let relay = deployment.relay().await;
    let ordered = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        place_order(&deployment);
        deployment.replica("up-2", "v2").await
    };
    let begun = send_conversations(&relay, "old", CONVERSATION_COUNT, &old);
    let (target, begun) = tokio::join!(ordered, begun);
    assert_eq!(begun, CONVERSATION_COUNT);
    old.plan(ReplicaPlan::default());
    eventually("the canary phase has begun", async || {
        send_conversations(&relay, "new", CONVERSATION_COUNT, &target).await > 0
    })
    .await;
    assert_eq!(stored_phase(&deployment), Some(RolloutPhase::Canary));
    assert_eq!(
        send_conversations(&relay, "old", CONVERSATION_COUNT, &target).await,
        0
    );
}

/// Guards against routers that take a conversation for new because they have not had a request of it.
#[tokio::test]
async fn a_conversation_that_continues_at_another_router_keeps_its_version() {
    /// Requests that the users' rule allows to change their version.
    const MOVED_LIMIT: usize = 3;
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/chat/", RunKind::Idempotent)]);
    let old = deployment.replica("up-1", "v1").await;
    let first = deployment.relay_on("entry-1").await;
    let second = deployment.relay_on("entry-2").await;
    let begun = send_conversations(&first, "old", CONVERSATION_COUNT, &old).await;
    assert_eq!(begun, CONVERSATION_COUNT);
    place_order(&deployment);
    let target = deployment.replica("up-2", "v2").await;
    // Conversations that began before the canary phase stay on the old version, so that each round needs others.
    let mut round = 0;
    eventually("the canary phase has begun at both routers", async || {
        round += 1;
        let (new, other) = (format!("new-{round}"), format!("other-{round}"));
        send_conversations(&first, &new, CONVERSATION_COUNT, &target).await > 0
            && send_conversations(&second, &other, CONVERSATION_COUNT, &target).await > 0
    })
    .await;
    assert_eq!(stored_phase(&deployment), Some(RolloutPhase::Canary));
    let moved = send_conversations(&second, "old", CONVERSATION_COUNT, &target).await;
    assert!(moved <= MOVED_LIMIT, "{moved} conversations moved");
}

/// Guards against phases that the store lost when it came back from an older copy: the operator waited for an end that was never stored.
#[tokio::test]
async fn a_phase_that_the_store_lost_is_stored_again() {
    let (deployment, relays, _candidate) = start_fleet(ReplicaPlan::default()).await;
    eventually("the roll-out has begun", async || {
        stored_phase(&deployment).is_some()
    })
    .await;
    let copy = deployment.store.copy();
    let last = send_until_final(&deployment, &relays).await;
    assert_eq!(last, Some(RolloutPhase::Completed));
    deployment.store.come_back_from(copy);
    assert_ne!(stored_phase(&deployment), last);
    eventually("the end is stored again", async || {
        stored_phase(&deployment) == last
    })
    .await;
}

/// Guards against a roll-out that begins anew because its order, which the store lost, is written again at another offset.
#[tokio::test]
async fn an_order_that_is_written_again_does_not_begin_anew() {
    let rules = [rule("/chat/", RunKind::Idempotent)];
    let (deployment, old) = start_old_versions(&rules, &ReplicaPlan::default()).await;
    let copy = deployment.store.copy();
    let (deployment, relays, candidate) = order_version(deployment, ReplicaPlan::default()).await;
    let last = send_until_final(&deployment, &relays).await;
    assert_eq!(last, Some(RolloutPhase::Completed));
    deployment.store.come_back_from(copy);
    deployment.configure(2, &rules);
    deployment.configure(3, &rules);
    place_order(&deployment);
    for replica in old.iter().chain([&candidate]) {
        replica.register(&deployment.store, UpstreamStage::Ready, 2);
    }
    eventually("the phase is stored again", async || {
        stored_phase(&deployment).is_some()
    })
    .await;
    assert_eq!(stored_phase(&deployment), last);
}
