//! Cascades on a running fleet.

use ferry_rig::{ChatCall, FleetRig};
use hyper::Method;
use serde_json::json;

use crate::sample::{client, fleet};

/// Makes the platform rate every answer of `version` with `score`.
async fn set_score(rig: &FleetRig, version: &str, score: f64) {
    let path = format!("/standin/ratings/{version}");
    rig.order_platform(Method::PUT, &path, &json!({ "score": score }))
        .await;
}

#[tokio::test]
async fn an_answer_below_the_target_escalates_to_the_next_stage() {
    let rig = fleet(1).await;
    let call = ChatCall::new("triage", "Text");
    set_score(&rig, "small-1", 0.9).await;
    let accepted = client().chat(&rig.callers(0), &call).await.answer();
    assert_eq!(accepted.version, "small-1");
    set_score(&rig, "small-1", 0.1).await;
    let escalated = client().chat(&rig.callers(0), &call).await.answer();
    assert_eq!(escalated.version, "large-1");
}

#[tokio::test]
async fn a_refusal_after_a_stage_that_answered_reports_that_the_request_ran() {
    let mut rig = fleet(1).await;
    set_score(&rig, "small-1", 0.1).await;
    for engine in &mut rig.engines[2..] {
        engine.process.kill().await;
    }
    let call = ChatCall::new("triage", "Text");
    let refusal = client().chat(&rig.callers(0), &call).await.refusal();
    assert_eq!(refusal.run, "ran", "{}", refusal.detail);
}
