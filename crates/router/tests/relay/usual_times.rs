//! Requests that are refused because their answers usually take too long.

use std::time::Duration;

use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;

use crate::deployment::{Deployment, call, eventually, request, rule};

/// Time that slow upstreams take.
const SLOW_TIME: Duration = Duration::from_secs(1);
/// Answers from which a usual time is known, with a reserve.
const ANSWER_COUNT: usize = 12;
/// Time limit of the rule, before and afterwards: a quarter of the usual time doesn't fit into the second.
const LONG_TIMEOUT: Duration = Duration::from_secs(4);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Requests that must be answered once the upstreams are fast, of `ANSWER_COUNT`.
const SERVED_LEAST: usize = ANSWER_COUNT - 2;

fn limited(timeout: Duration) -> RouteRule {
    RouteRule {
        timeout,
        target_latency: timeout,
        ..rule("/letters/", RunKind::Idempotent)
    }
}

/// Guards against a class of requests that is refused for good, because nothing is sent that could show that its answers are fast again.
#[tokio::test(flavor = "multi_thread")]
async fn a_class_whose_usual_time_has_grown_beyond_its_limit_is_tried_again() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[limited(LONG_TIMEOUT)]);
    let slow = ReplicaPlan {
        wait: SLOW_TIME,
        ..ReplicaPlan::default()
    };
    let replicas = deployment.replicas(["up-1", "up-2"], &slow).await;
    let relay = deployment.relay().await;
    let calls = (0..ANSWER_COUNT)
        .map(|number| call(request(&relay, "/letters/7", &format!("slow-{number}"))));
    for answer in futures::future::join_all(calls).await {
        assert_eq!(answer.status, StatusCode::OK);
    }
    deployment.configure(2, &[limited(SHORT_TIMEOUT)]);
    eventually("the class is refused", async || {
        call(request(&relay, "/letters/7", "a")).await.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    for replica in &replicas {
        replica.plan(ReplicaPlan::default());
    }
    eventually("the class is served", async || {
        call(request(&relay, "/letters/7", "a")).await.status == StatusCode::OK
    })
    .await;
    let mut served = 0;
    for number in 0..ANSWER_COUNT {
        let answer = call(request(&relay, "/letters/7", &format!("fast-{number}"))).await;
        served += usize::from(answer.status == StatusCode::OK);
    }
    assert!(served >= SERVED_LEAST, "{served} of {ANSWER_COUNT}");
}
