//! Answers that are streams of events: forwarding, resumption and broken streams.

use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::deployment::{Deployment, call, eventually, request, rule};
use crate::raw_replica::start_trickling_replica;

/// Time within which a stream with pauses of up to 200 ms is resumed after its upstream stalled, and ends.
const RESUME_BOUND: Duration = Duration::from_secs(3);
/// Number of events in an answer.
const EVENT_COUNT: u64 = 6;

fn stream_plan() -> ReplicaPlan {
    ReplicaPlan {
        events: EVENT_COUNT,
        gap: Duration::from_millis(5),
        ..ReplicaPlan::default()
    }
}

fn complete_stream() -> String {
    (1..=EVENT_COUNT)
        .map(|number| format!("id: {number}\ndata: part {number}\n\n"))
        .collect()
}

#[tokio::test]
async fn events_are_forwarded_unchanged() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/chat/", RunKind::Stream)]);
    deployment.replica("up-1", "v1").await.plan(stream_plan());
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.unwrap(), complete_stream());
}

#[tokio::test]
async fn a_broken_resumable_stream_continues_elsewhere_without_lost_or_repeated_events() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/chat/", RunKind::ResumableStream)]);
    let breaking = deployment.replica("up-1", "v1").await;
    breaking.plan(ReplicaPlan {
        break_after: Some(2),
        ..stream_plan()
    });
    let relay = deployment.relay().await;
    let healthy = deployment.replica("up-2", "v1").await;
    healthy.plan(stream_plan());
    eventually("a stream is resumed", async || {
        let answer = call(request(&relay, "/chat/7", "a")).await;
        let resumed = healthy
            .runs()
            .iter()
            .any(|run| run.request.last_event == Some(2));
        if resumed {
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(answer.body.unwrap(), complete_stream());
        }
        resumed
    })
    .await;
}

#[tokio::test]
async fn a_broken_stream_that_cannot_be_resumed_does_not_look_complete() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/chat/", RunKind::Stream)]);
    let breaking = deployment.replica("up-1", "v1").await;
    breaking.plan(ReplicaPlan {
        break_after: Some(2),
        ..stream_plan()
    });
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, None, "a broken stream must not look complete");
}

/// Guards against cutting the answer of a slow upstream: the router dropped an upstream that had paused a stream
/// for 4 s and tried to resume the stream elsewhere, which failed because the caller's key had been revoked
/// meanwhile.
#[tokio::test]
async fn a_silent_stream_is_kept_if_it_cannot_be_resumed_elsewhere() {
    let deployment = Deployment::start().await;
    let mut resumable = rule("/chat/", RunKind::ResumableStream);
    resumable.event_gap = Some(Duration::from_millis(20));
    deployment.configure(1, &[resumable]);
    let replica = deployment.replica("up-1", "v1").await;
    replica.plan(ReplicaPlan {
        gap: Duration::from_millis(300),
        ..stream_plan()
    });
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.unwrap(), complete_stream());
    assert_eq!(replica.runs().len(), 1);
}

/// Guards against a stalled upstream that holds its caller until the deadline by a byte now and then.
#[tokio::test]
async fn a_stream_whose_upstream_sends_single_bytes_is_resumed_elsewhere() {
    let deployment = Deployment::start().await;
    let mut resumable = rule("/chat/", RunKind::ResumableStream);
    resumable.event_gap = Some(Duration::from_millis(200));
    deployment.configure(1, &[resumable]);
    let begun = "id: 1\ndata: part 1\n\n";
    let period = Duration::from_millis(100);
    start_trickling_replica(&deployment, "up-1", begun, period).await;
    let relay = deployment.relay().await;
    let healthy = deployment.replica("up-2", "v1").await;
    healthy.plan(stream_plan());
    eventually("a stream is resumed after its first event", async || {
        let began_at = Instant::now();
        let answer = call(request(&relay, "/chat/7", "a")).await;
        assert_eq!(answer.body.unwrap(), complete_stream());
        assert!(
            began_at.elapsed() < RESUME_BOUND,
            "{:?}",
            began_at.elapsed()
        );
        let runs = healthy.runs();
        runs.iter().any(|run| run.request.last_event == Some(1))
    })
    .await;
}
