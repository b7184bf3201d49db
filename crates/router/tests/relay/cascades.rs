//! Cascades by the confidence that models report.

use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use hyper::StatusCode;

use crate::deployment::{Deployment, call, request, rule};

fn cascade_rule() -> RouteRule {
    let mut rule = rule("/chat/", RunKind::ResumableStream);
    rule.cascade = ["small", "middle", "large"]
        .map(Into::into)
        .into_iter()
        .collect();
    rule
}

fn answering(confidence: u8) -> ReplicaPlan {
    ReplicaPlan {
        events: 3,
        confidence: Some(confidence),
        ..ReplicaPlan::default()
    }
}

fn models(replica: &ReplicaStandin) -> Vec<String> {
    let runs = replica.runs();
    runs.into_iter()
        .filter_map(|run| run.request.model)
        .collect()
}

#[tokio::test]
async fn a_doubted_answer_is_dropped_for_the_largest_model_s() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[cascade_rule()]);
    let first = deployment.replica("up-1", "v1").await;
    let second = deployment.replica("up-2", "v1").await;
    first.plan(answering(10));
    second.plan(answering(10));
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    let mut asked = models(&first);
    asked.extend(models(&second));
    asked.sort();
    assert_eq!(asked, ["large", "small"]);
}

#[tokio::test]
async fn a_trusted_answer_is_kept() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[cascade_rule()]);
    let replica = deployment.replica("up-1", "v1").await;
    replica.plan(answering(90));
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(models(&replica), ["small"]);
}
