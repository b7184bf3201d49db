//! Large bodies of requests on a router with little memory.

use ferry_rig::{ChatCall, ChatResult, FleetRig, eventually};
use hyper::Method;
use serde_json::Value;

use crate::sample::{client, configuration, programs};

/// Settings by which a router has 1 MiB for all but the beginnings of bodies.
const LITTLE_MEMORY: &str = "limits: {memory_mib: 3}";
/// Length of a body of which one fits, in bytes.
const LARGE: usize = 900_000;
/// Time that the service takes for a call, in milliseconds.
const SERVICE_MS: &str = "4000";
/// Deadlines of a call that is answered and of one that finds no memory, in milliseconds.
const LONG_DEADLINE_MS: u32 = 30_000;
const SHORT_DEADLINE_MS: u32 = 1_000;

/// Sends a call of the service with a body of `length`; returns its status and the kind and run state of a refusal.
async fn send(rig: &FleetRig, length: usize, deadline_ms: u32) -> (u16, String, String) {
    let headers = [("ferry-deadline-ms", deadline_ms.to_string())];
    let path = "/services/letters/send";
    let body = vec![b'x'; length];
    let answer = client()
        .call(&rig.callers(0), Method::POST, path, &headers, body)
        .await;
    let (status, _, body) = answer.unwrap();
    let document: Value = serde_json::from_slice(&body).unwrap_or_default();
    let text = |field: &Value| field.as_str().unwrap_or_default().to_owned();
    (
        status,
        text(&document["error"]["type"]),
        text(&document["run"]),
    )
}

/// Memory that the bodies of requests take at the router, in bytes.
async fn taken_bytes(rig: &FleetRig) -> f64 {
    let metrics = rig.metrics(0).await.unwrap_or_default();
    let mut values = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("ferry_request_body_bytes "));
    let value = values.next().and_then(|value| value.parse().ok());
    value.unwrap_or_default()
}

/// Guards against callers whose bodies together take a router over its memory (LOST).
#[tokio::test]
async fn a_large_body_without_room_is_refused_as_not_run_and_small_ones_go_on() {
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    let flags = ["--duration-ms", SERVICE_MS];
    rig.add_service("service-1", "letters", &flags)
        .await
        .unwrap();
    rig.add_router_with(LITTLE_MEMORY).await.unwrap();
    rig.wait_until_ready(1).await;
    rig.publish_everywhere(configuration()).await;
    let rig = &rig;
    let first = send(rig, LARGE, LONG_DEADLINE_MS);
    let others = async {
        eventually("the first body takes its room", async || {
            (taken_bytes(rig).await >= LARGE as f64).then_some(())
        })
        .await;
        let refused = send(rig, LARGE, SHORT_DEADLINE_MS).await;
        let expected = (503, "overloaded".to_owned(), "not_run".to_owned());
        assert_eq!(refused, expected);
        let text = "x".repeat(LARGE);
        let mut call = ChatCall::new("small-1", &text).unstreamed();
        call = call.header("ferry-deadline-ms", &SHORT_DEADLINE_MS.to_string());
        match client().chat(&rig.callers(0), &call).await {
            ChatResult::Refused(refusal) => assert_eq!(refusal.kind(), "overloaded"),
            other => panic!("{other:?}"),
        }
        send(rig, 1_000, LONG_DEADLINE_MS).await.0
    };
    let (first, small) = tokio::join!(first, others);
    assert_eq!((first.0, small), (200, 200));
    let third = send(rig, LARGE, LONG_DEADLINE_MS).await;
    assert_eq!(third.0, 200);
    eventually("the memory is free again", async || {
        (taken_bytes(rig).await == 0.0).then_some(())
    })
    .await;
}
