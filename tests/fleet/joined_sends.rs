//! Repeated sends of a request, while its first run is in progress and after its answer.

use std::time::Duration;

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult, FleetRig, eventually};
use futures::future::join_all;
use hyper::Method;

use crate::letters::{LetterAnswer, ledger, letter_fleet, send_in_background, service_count};
use crate::logged_bills::until_all_live;
use crate::sample::{client, configuration, programs};

/// Tokens of an answer that takes about a second.
const LONG_ANSWER: u32 = 100;
/// Time that the service takes for a call.
const LONG_CALL: Duration = Duration::from_secs(1);

/// Starts `routers` routers and one engine with steps of 10 ms.
async fn slow_fleet(routers: usize) -> FleetRig {
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    rig.add_engine("engine-1", &["small-1"], &["--step-ms", "10"])
        .await
        .unwrap();
    for _ in 0..routers {
        rig.add_router().await.unwrap();
    }
    rig.wait_until_ready(1).await;
    rig.publish_everywhere(configuration()).await;
    rig
}

fn long_call(id: &str) -> ChatCall {
    ChatCall::new("small-1", "Summarise")
        .id(id)
        .tokens(LONG_ANSWER)
}

fn send(rig: &FleetRig, index: usize, call: ChatCall) -> tokio::task::JoinHandle<ChatResult> {
    let address = rig.callers(index);
    tokio::spawn(async move { client().chat(&address, &call).await })
}

/// The engine's counter `event` (such as `started` or `cancelled`) for request `id`.
async fn engine_count(rig: &FleetRig, id: &str, event: &str) -> u64 {
    let address = rig.engines[0].process.address("listening");
    let counters = rig.counters(&address).await;
    counters["requests"][id][event].as_u64().unwrap_or_default()
}

async fn until_started(rig: &FleetRig, id: &str) {
    eventually("the run has started", || async {
        (engine_count(rig, id, "started").await > 0).then_some(())
    })
    .await;
}

/// Checks that `count` requests are billed, each once.
async fn assert_billed(rig: &FleetRig, count: u64) {
    let report = ledger(rig).await;
    assert_eq!(report.workspaces["clinic"].requests, count);
    assert!(!report.counts.need_attention(), "{:?}", report.anomalies);
}

async fn assert_sends_share_one_run(call: ChatCall, id: &str) {
    let rig = slow_fleet(1).await;
    let first = send(&rig, 0, call.clone());
    until_started(&rig, id).await;
    let others: Vec<_> = (0..3).map(|_| send(&rig, 0, call.clone())).collect();
    let first = first.await.unwrap().answer();
    for other in join_all(others).await {
        let other = other.unwrap().answer();
        assert_eq!(other.text, first.text);
        assert_eq!(other.completion_tokens, u64::from(LONG_ANSWER));
    }
    assert_eq!(engine_count(&rig, id, "started").await, 1);
    assert_billed(&rig, 1).await;
}

#[tokio::test]
async fn streamed_sends_of_one_request_share_its_run() {
    let id = RequestId::generate().to_string();
    assert_sends_share_one_run(long_call(&id), &id).await;
}

#[tokio::test]
async fn whole_sends_of_one_request_share_its_run() {
    let id = RequestId::generate().to_string();
    assert_sends_share_one_run(long_call(&id).unstreamed(), &id).await;
}

#[tokio::test]
async fn a_run_continues_for_joined_callers_when_its_first_caller_disconnects() {
    let rig = slow_fleet(1).await;
    let id = RequestId::generate().to_string();
    let first = send(&rig, 0, long_call(&id));
    until_started(&rig, &id).await;
    let second = send(&rig, 0, long_call(&id));
    eventually("the second send has joined", || async {
        let status = rig.admin(0, "/status").await?;
        (status["joined_sends"].as_u64()? == 1).then_some(())
    })
    .await;
    first.abort();
    let answer = second.await.unwrap().answer();
    assert_eq!(answer.completion_tokens, u64::from(LONG_ANSWER));
    assert_eq!(engine_count(&rig, &id, "started").await, 1);
    assert_eq!(engine_count(&rig, &id, "cancelled").await, 0);
    assert_billed(&rig, 1).await;
}

#[tokio::test]
async fn a_run_is_cancelled_when_its_last_caller_disconnects() {
    let rig = slow_fleet(1).await;
    let id = RequestId::generate().to_string();
    let call = long_call(&id).tokens(50 * LONG_ANSWER);
    let sends = [send(&rig, 0, call.clone()), send(&rig, 0, call)];
    until_started(&rig, &id).await;
    sends.iter().for_each(tokio::task::JoinHandle::abort);
    eventually("the run is cancelled", || async {
        (engine_count(&rig, &id, "cancelled").await == 1).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_send_with_the_same_id_and_different_content_is_refused() {
    let rig = slow_fleet(1).await;
    let id = RequestId::generate().to_string();
    let first = send(&rig, 0, long_call(&id));
    until_started(&rig, &id).await;
    let other = ChatCall::new("small-1", "Translate").id(&id);
    let refusal = client().chat(&rig.callers(0), &other).await.refusal();
    assert_eq!(refusal.kind(), "bad_request");
    assert_eq!(refusal.run, "not_run");
    first.await.unwrap().answer();
    assert_billed(&rig, 1).await;
}

#[tokio::test]
async fn a_request_sent_again_after_its_answer_is_billed_once() {
    let rig = slow_fleet(3).await;
    until_all_live(&rig).await;
    let id = RequestId::generate().to_string();
    let answer = send(&rig, 0, long_call(&id)).await.unwrap().answer();
    for index in 0..3 {
        let again = send(&rig, index, long_call(&id).tokens(5)).await.unwrap();
        assert_eq!(again.answer().request_id, answer.request_id);
    }
    assert_billed(&rig, 1).await;
}

#[tokio::test]
async fn letters_with_equal_ids_and_different_content_share_no_answer() {
    let rig = letter_fleet(2, LONG_CALL).await;
    let id = RequestId::generate().to_string();
    let first = send_in_background(&rig, 0, &id);
    eventually("the call has started", || async {
        (service_count(&rig, &id, "started").await > 0).then_some(())
    })
    .await;
    for index in 0..2 {
        let headers = [("idempotency-key", id.clone())];
        let path = "/services/letters/send";
        let body = "{\"other\": 1}";
        let (status, _, _) = client()
            .call(&rig.callers(index), Method::POST, path, &headers, body)
            .await
            .unwrap();
        assert_eq!(status, 400, "router {index}");
    }
    assert_eq!(first.await.unwrap(), LetterAnswer::Answered);
    assert_eq!(service_count(&rig, &id, "started").await, 1);
}
