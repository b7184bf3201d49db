//! Answers that are streams of events: forwarding, resumption and broken streams.

use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;

use crate::deployment::{Deployment, call, eventually, request, rule};

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
async fn a_resumable_stream_goes_on_elsewhere_without_a_missing_or_doubled_event() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/chat/", RunKind::ResumableStream)]);
    let breaking = deployment.replica("up-1", "v1").await;
    breaking.plan(ReplicaPlan {
        break_after: Some(2),
        ..stream_plan()
    });
    let relay = deployment.relay().await;
    let sound = deployment.replica("up-2", "v1").await;
    sound.plan(stream_plan());
    eventually("a stream is resumed", async || {
        let answer = call(request(&relay, "/chat/7", "a")).await;
        let resumed = sound
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
async fn a_stream_that_cannot_be_resumed_ends_visibly_broken() {
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

/// The router dropped an upstream that had paused a stream for 4 s and tried to resume the stream elsewhere, which
/// failed because the caller's key had been revoked meanwhile; the caller's answer was cut.
#[tokio::test]
async fn a_silent_stream_that_cannot_be_resumed_elsewhere_is_waited_for() {
    let deployment = Deployment::start().await;
    let mut resumable = rule("/chat/", RunKind::ResumableStream);
    resumable.event_gap = Some(Duration::from_millis(20));
    deployment.configure(1, &[resumable]);
    let only = deployment.replica("up-1", "v1").await;
    only.plan(ReplicaPlan {
        gap: Duration::from_millis(300),
        ..stream_plan()
    });
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.unwrap(), complete_stream());
    assert_eq!(only.runs().len(), 1);
}
