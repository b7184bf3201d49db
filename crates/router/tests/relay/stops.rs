//! Graceful stops, and the restart after one.

use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;

use crate::deployment::{Deployment, call, eventually, is_ready, request, rule};

#[tokio::test]
async fn a_stop_finishes_running_requests_and_accepts_new_ones_for_the_balancer_lag() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let replica = deployment.replica("up-1", "v1").await;
    replica.plan(ReplicaPlan {
        wait: Duration::from_secs(2),
        ..ReplicaPlan::default()
    });
    let relay = deployment.relay().await;
    let running = tokio::spawn(call(request(&relay, "/letters/7", "a")));
    eventually("the request runs", async || !replica.runs().is_empty()).await;
    let late = request(&relay, "/letters/7", "b");
    let readiness = relay.readiness_address();
    let stopping = tokio::spawn(relay.stop());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let url = format!(
        "http://{readiness}{}",
        ferry_platform::headers::READINESS_PATH
    );
    let ready = ferry_kernel::http::HttpClient::default()
        .send(
            ferry_kernel::http::HttpRequest::get(&url),
            Duration::from_secs(5),
        )
        .await;
    assert_eq!(ready.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    let late = call(late).await;
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.headers.get("connection").unwrap(), "close");
    assert_eq!(running.await.unwrap().status, StatusCode::OK);
    stopping.await.unwrap();
    assert_eq!(replica.runs().len(), 2);
}

#[tokio::test]
async fn a_relay_is_ready_again_at_once_after_a_restart() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let _replica = deployment.replica("up-1", "v1").await;
    for _ in 0..2 {
        let relay = deployment.relay().await;
        assert!(is_ready(&relay).await);
        assert_eq!(
            call(request(&relay, "/letters/7", "a")).await.status,
            StatusCode::OK
        );
    }
}
