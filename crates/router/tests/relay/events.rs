//! Answers that are series of events.

use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;

use crate::deployment::{Deployment, call, eventually, request, rule};

/// Events of an answer.
const EVENTS: u64 = 6;

fn stream() -> ReplicaPlan {
    ReplicaPlan {
        events: EVENTS,
        gap: Duration::from_millis(5),
        ..ReplicaPlan::default()
    }
}

fn whole_stream() -> String {
    (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: part {number}\n\n"))
        .collect()
}

#[tokio::test]
async fn events_pass_unchanged() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/chat/", RunKind::Stream)]);
    deployment.replica("up-1", "v1").await.plan(stream());
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.unwrap(), whole_stream());
}

#[tokio::test]
async fn a_resumable_stream_goes_on_elsewhere_without_a_missing_or_doubled_event() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/chat/", RunKind::ResumableStream)]);
    let breaking = deployment.replica("up-1", "v1").await;
    breaking.plan(ReplicaPlan {
        break_after: Some(2),
        ..stream()
    });
    let relay = deployment.relay().await;
    let sound = deployment.replica("up-2", "v1").await;
    sound.plan(stream());
    eventually("a stream is resumed", async || {
        let answer = call(request(&relay, "/chat/7", "a")).await;
        let resumed = sound
            .runs()
            .iter()
            .any(|run| run.request.last_event == Some(2));
        if resumed {
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(answer.body.unwrap(), whole_stream());
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
        ..stream()
    });
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, None, "a broken stream must not look whole");
}

/// Seen on a grown day: an upstream that had put a stream back for 4 s was left for another one, where the
/// stream could not go on since its key had been taken away meanwhile; the caller's answer was cut.
#[tokio::test]
async fn a_silent_stream_that_cannot_go_on_elsewhere_is_waited_for() {
    let deployment = Deployment::start().await;
    let mut patient = rule("/chat/", RunKind::ResumableStream);
    patient.event_gap = Some(Duration::from_millis(20));
    deployment.configure(1, &[patient]);
    let only = deployment.replica("up-1", "v1").await;
    only.plan(ReplicaPlan {
        gap: Duration::from_millis(300),
        ..stream()
    });
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/chat/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.unwrap(), whole_stream());
    assert_eq!(only.runs().len(), 1);
}
