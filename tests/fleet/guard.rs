//! The roll-out guard on a running fleet: trips, the limit on unrated answers, and an outage of the log.

use ferry_decisions::config::{ObjectKey, ObjectSpec, RolloutSpec, TripPolicy, VersionPhase};
use ferry_rig::{ChatCall, ChatResult, FleetRig, eventually};
use futures::future::join_all;
use hyper::Method;
use serde_json::json;

use crate::sample::{client, fleet, version};

/// Number of routers of each fleet.
const ROUTERS: usize = 3;
/// Version in roll-out.
const CANDIDATE: &str = "large-1";
/// Greatest number of unrated answers of the candidate.
const UNRATED_LIMIT: u32 = 12;

fn candidate(epoch: u64) -> (ObjectKey, Option<ObjectSpec>) {
    let (key, spec) = version(CANDIDATE, "large", VersionPhase::Serving);
    let Some(ObjectSpec::Version(mut spec)) = spec else {
        panic!("the sample gives a version");
    };
    spec.rollout = Some(RolloutSpec {
        epoch,
        unrated_limit: UNRATED_LIMIT,
        tolerated_bad: 0.05,
        stopping_bad: 0.2,
        on_trip: TripPolicy::Withdraw,
    });
    (key, Some(ObjectSpec::Version(spec)))
}

/// Makes the platform rate every answer of the candidate with `score`.
async fn set_score(rig: &FleetRig, score: f64) {
    let path = format!("/standin/ratings/{CANDIDATE}");
    rig.order_platform(Method::PUT, &path, &json!({ "score": score }))
        .await;
}

/// Makes the platform answer every call whose path starts with `path` as unavailable.
async fn fail_paths(rig: &FleetRig, path: &str) {
    let outage = json!({ "outage": { "answer": "unavailable", "path": path } });
    rig.platform_faults(&outage).await;
}

/// Number of runs that started on the candidate's engines.
async fn started(rig: &FleetRig) -> u64 {
    let mut sum = 0;
    for engine in &rig.engines {
        let counters = rig.counters(&engine.process.address("listening")).await;
        let count = &counters["totals"]["versions"][CANDIDATE];
        sum += count.as_u64().unwrap_or_default();
    }
    sum
}

/// Sends one request for `model` to each router.
async fn send_to_all(rig: &FleetRig, model: &str) -> Vec<ChatResult> {
    send_to_first(rig, ROUTERS, model).await
}

/// Sends one request for `model` to each of the first `routers` routers.
async fn send_to_first(rig: &FleetRig, routers: usize, model: &str) -> Vec<ChatResult> {
    let caller = client();
    let call = ChatCall::new(model, "Text");
    let calls = (0..routers).map(|index| {
        let (caller, call, address) = (&caller, &call, rig.callers(index));
        async move { caller.chat(&address, call).await }
    });
    join_all(calls).await
}

/// Whether the guard of every router reports a trip.
async fn tripped_everywhere(rig: &FleetRig) -> bool {
    for index in 0..ROUTERS {
        let status = rig.admin(index, "/status").await.unwrap_or_default();
        let candidates = &status["plugins"]["guard"]["candidates"];
        if !candidates[0]["trip"].is_string() {
            return false;
        }
    }
    true
}

/// Sends requests to the first `routers` routers until the guard of every router reports a trip.
async fn until_tripped(rig: &FleetRig, routers: usize) {
    eventually("the roll-out is stopped on every router", || async {
        send_to_first(rig, routers, CANDIDATE).await;
        tripped_everywhere(rig).await.then_some(())
    })
    .await;
}

/// Sends requests until the candidate has answered one.
async fn until_answered(rig: &FleetRig) {
    eventually("the candidate answers", || async {
        let results = send_to_all(rig, CANDIDATE).await;
        let answered = |result: &ChatResult| matches!(result, ChatResult::Answered(_));
        results.iter().any(answered).then_some(())
    })
    .await;
}

/// Checks that no router sends further requests to the candidate, and that requests for the model are still answered.
async fn assert_stopped(rig: &FleetRig) {
    let before = started(rig).await;
    for _ in 0..10 {
        for result in send_to_all(rig, CANDIDATE).await {
            let refusal = result.refusal();
            assert_eq!(refusal.kind(), "no_version_allowed");
            assert_eq!(refusal.run, "not_run");
        }
        for result in send_to_all(rig, "assistant").await {
            assert_eq!(result.answer().version, "small-1");
        }
    }
    assert_eq!(started(rig).await, before);
}

#[tokio::test]
async fn a_bad_candidate_is_stopped_everywhere_until_a_new_epoch() {
    let rig = fleet(ROUTERS).await;
    set_score(&rig, 0.1).await;
    rig.publish_everywhere(vec![candidate(1)]).await;
    until_tripped(&rig, ROUTERS).await;
    assert_stopped(&rig).await;
    eventually("every router folds the trip", || async {
        for index in 0..ROUTERS {
            let config = rig.admin(index, "/config").await?;
            config["state"]["trips"][CANDIDATE].as_object()?;
        }
        Some(())
    })
    .await;
    assert_stopped(&rig).await;
    set_score(&rig, 0.9).await;
    rig.publish_everywhere(vec![candidate(2)]).await;
    until_answered(&rig).await;
}

#[tokio::test]
async fn exposure_stops_at_the_limit_while_no_answer_is_rated() {
    let rig = fleet(ROUTERS).await;
    fail_paths(&rig, "/ratings").await;
    rig.publish_everywhere(vec![candidate(1)]).await;
    until_answered(&rig).await;
    for _ in 0..30 {
        for result in send_to_all(&rig, CANDIDATE).await {
            if let ChatResult::Refused(refusal) = result {
                assert_eq!(refusal.kind(), "rollout_limit");
                assert_eq!(refusal.run, "not_run");
                assert!(refusal.retry_after.is_some());
            }
        }
    }
    let served = started(&rig).await;
    assert!(served <= u64::from(UNRATED_LIMIT), "{served} served");
    for result in send_to_all(&rig, "assistant").await {
        assert_eq!(result.answer().version, "small-1");
    }
}

#[tokio::test]
async fn a_trip_propagates_while_the_log_is_down() {
    let rig = fleet(ROUTERS).await;
    set_score(&rig, 0.1).await;
    rig.publish_everywhere(vec![candidate(1)]).await;
    fail_paths(&rig, "/streams").await;
    until_tripped(&rig, 1).await;
    assert_stopped(&rig).await;
    let config = rig.admin(0, "/config").await.unwrap_or_default();
    assert!(config["state"]["trips"][CANDIDATE].is_null());
    rig.platform_heal().await;
    eventually("the trip is folded after the outage", || async {
        let config = rig.admin(0, "/config").await?;
        config["state"]["trips"][CANDIDATE].as_object()?;
        Some(())
    })
    .await;
}

#[tokio::test]
async fn a_session_at_the_limit_gets_a_retry_after_and_one_on_a_stopped_candidate_ends() {
    let rig = fleet(ROUTERS).await;
    fail_paths(&rig, "/ratings").await;
    rig.publish_everywhere(vec![candidate(1)]).await;
    let opening = ChatCall::new(CANDIDATE, "Text").header("ferry-session", "new");
    let token = eventually("a session begins on the candidate", || async {
        match client().chat(&rig.callers(0), &opening).await {
            ChatResult::Answered(answer) => answer.session,
            ChatResult::Refused(_) | ChatResult::Broken(_) => None,
        }
    })
    .await;
    let further = ChatCall::new("assistant", "Text").header("ferry-session", &token);
    let refusal = eventually("the session reaches the limit", || async {
        match client().chat(&rig.callers(0), &further).await {
            ChatResult::Answered(answer) => {
                assert_eq!(answer.version, CANDIDATE);
                None
            }
            other => Some(other.refusal()),
        }
    })
    .await;
    assert_eq!(refusal.kind(), "rollout_limit");
    assert_eq!(refusal.run, "not_run");
    assert!(refusal.retry_after.is_some());
    rig.platform_heal().await;
    set_score(&rig, 0.1).await;
    rig.publish_everywhere(vec![candidate(2)]).await;
    until_tripped(&rig, ROUTERS).await;
    for index in 0..ROUTERS {
        let result = client().chat(&rig.callers(index), &further).await;
        let refusal = result.refusal();
        assert_eq!(refusal.kind(), "session_version_withdrawn");
        assert_eq!(refusal.run, "not_run");
    }
}
