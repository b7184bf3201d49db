//! Matching and validation of requests, what is forwarded to the upstream, time-outs and limits.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::ruleset::RunKind;
use ferry_platform::headers::CallerHeaders;
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment::{
    Deployment, HOST_NAME, KEY, WORKSPACE, call, eventually, request, request_with, rule,
};

#[tokio::test]
async fn the_rule_with_the_longest_prefix_applies_and_the_request_is_forwarded_unchanged() {
    let deployment = Deployment::start().await;
    let short = rule("/letters/", RunKind::Idempotent);
    let mut long = rule("/letters/old/", RunKind::Idempotent);
    long.shares[0].service = "archive".into();
    deployment.configure(1, &[short, long]);
    let replica = deployment.replica("up-1", "v1").await;
    let relay = deployment.relay().await;

    let answer = call(request(&relay, "/letters/7?copy=2", "a-1")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.unwrap(), "up-1 answers a-1");
    let run = replica.runs().remove(0);
    assert_eq!(run.target, "POST /letters/7?copy=2");
    assert_eq!(run.body, Bytes::from_static(b"a letter"));
    assert_eq!(run.request.workspace.as_deref(), Some(WORKSPACE));
    assert_eq!(run.request.bound_to.as_deref(), Some("up-1"));
    assert!(run.request.time_left.unwrap() <= Duration::from_secs(8));

    let unserved = call(request(&relay, "/letters/old/7", "a-2")).await;
    assert_eq!(unserved.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(unserved.headers.contains_key("retry-after"));
    assert_eq!(replica.runs().len(), 1);
}

#[tokio::test]
async fn the_caller_s_key_and_forged_router_headers_are_not_forwarded() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let replica = deployment.replica("up-1", "v1").await;
    let relay = deployment.relay().await;
    let headers = CallerHeaders {
        attempt_id: "a-1",
        key: Some(KEY),
        forged: true,
        ..CallerHeaders::default()
    };
    let answer = call(request_with(&relay, "/letters/7", &headers)).await;
    assert_eq!(answer.status, StatusCode::OK);
    let run = replica.runs().remove(0);
    assert_eq!(run.request.forbidden_headers, Vec::<String>::new());
    assert_eq!(run.request.workspace.as_deref(), Some(WORKSPACE));
    assert_eq!(run.request.bound_to.as_deref(), Some("up-1"));
}

#[tokio::test]
async fn unknown_paths_and_keys_and_bodies_too_long_are_refused_at_once() {
    let deployment = Deployment::start().await;
    let mut open = rule("/open/", RunKind::Idempotent);
    open.public = true;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent), open]);
    let replica = deployment.replica("up-1", "v1").await;
    let relay = deployment.relay().await;
    let with_key = |key| CallerHeaders {
        attempt_id: "a-1",
        key,
        ..CallerHeaders::default()
    };

    let unknown = call(request(&relay, "/memos/7", "a-1")).await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    for key in [None, Some("key-2")] {
        let refused = call(request_with(&relay, "/letters/7", &with_key(key))).await;
        assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
    }
    let mut long = request(&relay, "/letters/7", "a-1");
    long.body = Bytes::from(vec![b'x'; 3_000]);
    assert_eq!(call(long).await.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert!(replica.runs().is_empty());
    let public = call(request_with(&relay, "/open/7", &with_key(None))).await;
    assert_eq!(public.status, StatusCode::OK);
}

#[tokio::test]
async fn malformed_requests_do_not_affect_others_and_smuggled_requests_do_not_run() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let replica = deployment.replica("up-1", "v1").await;
    let relay = deployment.relay().await;
    let inner = "POST /letters/smuggled HTTP/1.1\r\n\r\n";
    let malformed = [
        "NONSENSE\r\n\r\n".to_owned(),
        format!("POST /letters/7 HTTP/1.1\r\nHost: {HOST_NAME}\r\nContent-Length: x\r\n\r\n"),
        format!(
            "POST /letters/7 HTTP/1.1\r\nHost: {HOST_NAME}\r\nContent-Length: 5\r\n\
             Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}"
        ),
        format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(100_000)),
    ];
    for text in malformed {
        let mut stream = TcpStream::connect(relay.callers_address()).await.unwrap();
        // The relay may close before it has read everything.
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.shutdown().await;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer).await;
        assert!(!answer.contains(" 200 "), "{answer}");
    }
    assert!(replica.runs().is_empty());
    let answer = call(request(&relay, "/letters/7", "a-1")).await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn a_rule_s_timeout_ends_a_request_and_its_run() {
    let deployment = Deployment::start().await;
    let mut slow = rule("/letters/", RunKind::Once);
    slow.timeout = Duration::from_millis(300);
    deployment.configure(1, &[slow]);
    let replica = deployment.replica("up-1", "v1").await;
    replica.plan(ferry_standin::ReplicaPlan {
        wait: Duration::from_secs(30),
        ..ferry_standin::ReplicaPlan::default()
    });
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/letters/7", "a-1")).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    eventually("the run is abandoned", async || {
        replica.runs()[0].status == ferry_standin::replica::RunStatus::Abandoned
    })
    .await;
}

#[tokio::test]
async fn a_run_ends_when_its_caller_disconnects() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let replica = deployment.replica("up-1", "v1").await;
    replica.plan(ferry_standin::ReplicaPlan {
        wait: Duration::from_secs(30),
        ..ferry_standin::ReplicaPlan::default()
    });
    let relay = deployment.relay().await;
    let waiting = tokio::spawn(call(request(&relay, "/letters/7", "a-1")));
    eventually("the request runs", async || !replica.runs().is_empty()).await;
    waiting.abort();
    eventually("the run is abandoned", async || {
        replica.runs()[0].status == ferry_standin::replica::RunStatus::Abandoned
    })
    .await;
}

/// Sends `text` on a new connection and returns the status line of the relay's answer.
async fn status_line(address: std::net::SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The relay may close before it has read everything.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = vec![0; 1_024];
    let length = stream.read(&mut answer).await.unwrap_or_default();
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    answer.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn header_size_and_idle_time_limits_are_enforced() {
    let mut deployment = Deployment::start().await;
    deployment.limits.head_bytes = 12_000;
    deployment.limits.idle_time = Duration::from_millis(300);
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    deployment.replica("up-1", "v1").await;
    let relay = deployment.relay().await;
    let address = relay.callers_address();

    let head = |size| {
        format!(
            "GET /letters/7 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX: {}\r\n\r\n",
            "y".repeat(size)
        )
    };
    let allowed = status_line(address, &head(8_000)).await;
    assert!(
        allowed.contains("401"),
        "a request without a key: {allowed}"
    );
    let refused = status_line(address, &head(40_000)).await;
    assert!(refused.contains("431"), "{refused}");

    let mut idle = TcpStream::connect(address).await.unwrap();
    let closed = tokio::time::timeout(Duration::from_secs(5), idle.read(&mut [0; 16])).await;
    assert!(closed.is_ok(), "an idle connection is closed");

    deployment.limits.idle_time = Duration::from_secs(60);
    deployment.configure(
        2,
        &[
            rule("/letters/", RunKind::Idempotent),
            rule("/memos/", RunKind::Once),
        ],
    );
    eventually("the second configuration is in force", async || {
        call(request(&relay, "/memos/7", "a-2")).await.status == StatusCode::OK
    })
    .await;
    let mut kept = TcpStream::connect(address).await.unwrap();
    let closed = tokio::time::timeout(Duration::from_secs(1), kept.read(&mut [0; 16])).await;
    assert!(
        closed.is_err(),
        "an idle connection is kept for the new idle time"
    );
}
