//! Stories of requests from the log lines of several routers.

use ferry_operator::story::{LogLine, RequestStory, StoryCause, StoryCollector};
use proptest::prelude::*;

const MIXED: &str = include_str!("samples/mixed.log");

fn story(request: &str) -> Option<RequestStory> {
    let mut collector = StoryCollector::new(request);
    collector.read("mixed.log", MIXED.as_bytes()).unwrap();
    collector.finish()
}

#[test]
fn a_request_refused_at_once_names_the_reason_and_the_lost_store() {
    let story = story("refused-1").unwrap();
    assert_eq!(
        story.cause,
        StoryCause::Refused {
            reason: "out_of_touch".to_owned()
        }
    );
    let around: Vec<_> = story.around.iter().map(|line| &line.message).collect();
    assert!(
        around.iter().any(|line| line.contains("cannot be read")),
        "{around:?}"
    );
    assert!(story.around.iter().all(|line| line.source == "edge-1"));
}

#[test]
fn a_broken_stream_names_the_upstream_and_the_verdict() {
    let story = story("broken-1").unwrap();
    let text = story.cause.to_string();
    assert!(text.contains("broken_off"), "{text}");
    assert!(text.contains("up-2"), "{text}");
    assert!(text.contains("AttemptsUsed"), "{text}");
    let changes = story
        .around
        .iter()
        .filter(|line| line.message == "upstream");
    let upstreams: Vec<_> = changes.map(|line| line.fact("upstream")).collect();
    assert_eq!(upstreams, ["up-2"], "other upstreams' changes are left out");
}

#[test]
fn a_request_that_failed_after_a_retry_is_told_in_order() {
    let story = story("retried-1").unwrap();
    let messages: Vec<_> = story.own.iter().map(|line| line.message.as_str()).collect();
    assert_eq!(
        messages,
        [
            "request sent",
            "send failed",
            "request sent",
            "send failed",
            "request"
        ]
    );
    assert!(matches!(story.cause, StoryCause::GivenUp { .. }));
}

#[test]
fn a_request_whose_router_was_killed_says_so() {
    let story = story("cut-1").unwrap();
    assert_eq!(
        story.cause,
        StoryCause::NoEnd {
            process_ended: true
        }
    );
}

#[test]
fn a_line_is_of_the_host_that_its_collector_names() {
    let line = |prefix: &str| format!(r#"{prefix}{{"timestamp":5,"payload":"relay started"}}"#);
    let source = |prefix: &str| LogLine::parse("file", &line(prefix)).unwrap().source;
    assert_eq!(source("  -9.9905 edge-1 "), "edge-1");
    assert_eq!(source("edge-1 | "), "edge-1");
    assert_eq!(source(""), "file");
}

#[test]
fn an_upstream_s_own_failure_and_a_caller_that_left_are_told_apart() {
    let failed = story("failed-1").unwrap().cause.to_string();
    assert!(failed.contains("status 500, at send 2"), "{failed}");
    let left = story("left-1").unwrap().cause.to_string();
    assert!(left.contains("while up-1 had not answered"), "{left}");
}

#[test]
fn an_unknown_request_has_no_story() {
    assert!(story("nobody").is_none());
}

proptest! {
    /// Whatever else is in the logs, in whatever order, the request's lines are told in order of time.
    #[test]
    fn lines_are_told_in_order(order in Just(MIXED.lines().collect::<Vec<_>>()).prop_shuffle(), noise in ".*") {
        let mut collector = StoryCollector::new("retried-1");
        collector.read("a", format!("{noise}\n{}", order.join("\n")).as_bytes()).unwrap();
        let story = collector.finish().unwrap();
        prop_assert_eq!(story.own.len(), 5);
        let times: Vec<_> = story.lines().iter().map(|line| line.at_ms).collect();
        prop_assert!(times.is_sorted());
    }
}
