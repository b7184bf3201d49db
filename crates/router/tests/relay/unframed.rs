//! Answers that end with their connection: without framing, or in the middle.

use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;

use crate::deployment::{Deployment, call, eventually, request, rule};
use crate::raw_replica::{RawEnd, RawFraming, RawPlan, read_raw, start_raw_replica};

const WHOLE: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n";
const INSIDE_AN_EVENT: &str = "id: 1\ndata: part 1\n\nid: 2\nda";
const BETWEEN_EVENTS: &str = "id: 1\ndata: part 1\n\n";
const BEFORE_THE_LAST_BLANK_LINE: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n";

/// Kinds of runs, with the prefix of their paths.
const KINDS: [(&str, RunKind); 4] = [
    ("/notes/", RunKind::Idempotent),
    ("/letters/", RunKind::Once),
    ("/drafts/", RunKind::Stream),
    ("/chats/", RunKind::ResumableStream),
];

fn plan(sent: &'static str, framing: RawFraming, end: RawEnd) -> RawPlan {
    RawPlan {
        whole: WHOLE,
        sent,
        framing,
        end,
        exits: false,
    }
}

async fn deployment() -> Deployment {
    let deployment = Deployment::start().await;
    deployment.configure(1, &KINDS.map(|(prefix, run)| rule(prefix, run)));
    deployment
}

#[tokio::test]
async fn no_answer_that_was_broken_off_is_framed_as_complete() {
    let mut framed = Vec::new();
    for framing in [RawFraming::None, RawFraming::Length, RawFraming::Chunks] {
        for sent in [
            INSIDE_AN_EVENT,
            BETWEEN_EVENTS,
            BEFORE_THE_LAST_BLANK_LINE,
            "",
        ] {
            for end in [RawEnd::Fin, RawEnd::Rst] {
                let deployment = deployment().await;
                start_raw_replica(&deployment, "up-1", plan(sent, framing, end)).await;
                let relay = deployment.relay().await;
                for (prefix, run) in KINDS {
                    let answer = read_raw(&relay, &format!("{prefix}7"), "a").await;
                    if answer.is_success() && answer.is_framed_as_complete() {
                        framed.push(format!("{run:?}, {framing:?}, {end:?}, {sent:?}"));
                    }
                }
            }
        }
    }
    assert!(framed.is_empty(), "{framed:#?}");
}

/// Guards against an end that hides the break: the caller got the events before it and a clean end of the connection.
#[tokio::test]
async fn an_unframed_stream_that_is_known_to_be_broken_ends_with_a_reset() {
    for (sent, end) in [
        (INSIDE_AN_EVENT, RawEnd::Fin),
        (BEFORE_THE_LAST_BLANK_LINE, RawEnd::Fin),
        (BETWEEN_EVENTS, RawEnd::Rst),
    ] {
        let deployment = deployment().await;
        start_raw_replica(&deployment, "up-1", plan(sent, RawFraming::None, end)).await;
        let relay = deployment.relay().await;
        for prefix in ["/drafts/", "/chats/"] {
            let answer = read_raw(&relay, &format!("{prefix}7"), "a").await;
            assert!(answer.was_reset, "{prefix}: {sent:?}: {answer:?}");
        }
    }
}

#[tokio::test]
async fn an_answer_without_framing_is_delivered_whole_and_without_framing() {
    let deployment = deployment().await;
    let unframed = plan(WHOLE, RawFraming::None, RawEnd::Fin);
    start_raw_replica(&deployment, "up-1", unframed).await;
    let relay = deployment.relay().await;
    for (prefix, run) in KINDS {
        let answer = read_raw(&relay, &format!("{prefix}7"), "a").await;
        assert!(answer.is_success(), "{run:?}: {answer:?}");
        assert!(!answer.is_framed_as_complete(), "{run:?}: {answer:?}");
        assert_eq!(answer.text(), WHOLE, "{run:?}");
    }
}

#[tokio::test]
async fn a_framed_stream_that_ends_inside_an_event_does_not_look_complete() {
    for sent in [INSIDE_AN_EVENT, BEFORE_THE_LAST_BLANK_LINE] {
        let deployment = deployment().await;
        let framed = RawPlan {
            whole: sent,
            ..plan(sent, RawFraming::Chunks, RawEnd::Fin)
        };
        start_raw_replica(&deployment, "up-1", framed).await;
        let relay = deployment.relay().await;
        for prefix in ["/drafts/", "/chats/"] {
            let answer = call(request(&relay, &format!("{prefix}7"), "a")).await;
            assert_eq!(answer.body, None, "{prefix}: {sent:?}");
        }
    }
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_continues_elsewhere() {
    let unframed = plan(INSIDE_AN_EVENT, RawFraming::None, RawEnd::Fin);
    assert_continues_elsewhere(unframed).await;
}

#[tokio::test]
async fn an_unframed_stream_whose_upstream_has_ended_continues_elsewhere() {
    let ended = RawPlan {
        exits: true,
        ..plan(BETWEEN_EVENTS, RawFraming::None, RawEnd::Fin)
    };
    assert_continues_elsewhere(ended).await;
}

/// Checks that a stream which an upstream with this plan cuts after its first event is completed by another one.
async fn assert_continues_elsewhere(plan: RawPlan) {
    let deployment = deployment().await;
    start_raw_replica(&deployment, "up-1", plan).await;
    let healthy = deployment.replica("up-2", "v1").await;
    healthy.plan(ReplicaPlan {
        events: 2,
        gap: Duration::from_millis(5),
        ..ReplicaPlan::default()
    });
    let relay = deployment.relay().await;
    let mut number = 0;
    eventually("a stream is resumed", async || {
        number += 1;
        let answer = call(request(&relay, &format!("/chats/{number}"), "a")).await;
        let runs = healthy.runs();
        let resumed = runs.iter().any(|run| run.request.last_event == Some(1));
        if resumed || !runs.is_empty() {
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(answer.body.unwrap(), WHOLE);
        }
        resumed
    })
    .await;
}
