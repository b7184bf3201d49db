//! Timelines of requests from the log lines of several routers.

use ferry_operator::timeline::{LogLine, OutcomeCause, RequestTimeline, TimelineCollector};
use proptest::prelude::*;

const MIXED: &str = include_str!("samples/mixed.log");

fn timeline(request: &str) -> Option<RequestTimeline> {
    let mut collector = TimelineCollector::new(request);
    collector.read("mixed.log", MIXED.as_bytes()).unwrap();
    collector.finish()
}

#[test]
fn a_refused_request_shows_the_reason_and_the_failed_store_reads() {
    let timeline = timeline("refused-1").unwrap();
    assert_eq!(
        timeline.cause,
        OutcomeCause::Refused {
            reason: "out_of_touch".to_owned()
        }
    );
    let related_changes: Vec<_> = timeline
        .related_changes
        .iter()
        .map(|line| &line.message)
        .collect();
    assert!(
        related_changes
            .iter()
            .any(|line| line.contains("cannot be read")),
        "{related_changes:?}"
    );
    assert!(
        timeline
            .related_changes
            .iter()
            .all(|line| line.source == "edge-1")
    );
}

#[test]
fn a_broken_stream_shows_the_upstream_and_the_retry_decision() {
    let timeline = timeline("broken-1").unwrap();
    let text = timeline.cause.to_string();
    assert!(text.contains("broken_off"), "{text}");
    assert!(text.contains("up-2"), "{text}");
    assert!(text.contains("AttemptsUsed"), "{text}");
    let changes = timeline
        .related_changes
        .iter()
        .filter(|line| line.message == "upstream");
    let upstreams: Vec<_> = changes.map(|line| line.text_field("upstream")).collect();
    assert_eq!(upstreams, ["up-2"], "other upstreams' changes are left out");
}

#[test]
fn the_lines_of_a_request_that_failed_after_a_retry_are_in_order() {
    let timeline = timeline("retried-1").unwrap();
    let messages: Vec<_> = timeline
        .request_lines
        .iter()
        .map(|line| line.message.as_str())
        .collect();
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
    assert!(matches!(timeline.cause, OutcomeCause::GivenUp { .. }));
}

#[test]
fn a_request_whose_router_was_killed_shows_that_the_process_ended() {
    let timeline = timeline("cut-1").unwrap();
    assert_eq!(
        timeline.cause,
        OutcomeCause::NoOutcome {
            process_ended: true
        }
    );
}

#[test]
fn the_source_of_a_line_is_the_host_that_the_log_collector_names() {
    let line = |prefix: &str| format!(r#"{prefix}{{"timestamp":5,"payload":"relay started"}}"#);
    let source = |prefix: &str| LogLine::parse("file", &line(prefix)).unwrap().source;
    assert_eq!(source("  -9.9905 edge-1 "), "edge-1");
    assert_eq!(source("edge-1 | "), "edge-1");
    assert_eq!(source(""), "file");
}

#[test]
fn a_failure_of_an_upstream_and_a_closed_connection_are_distinguished() {
    let failed = timeline("failed-1").unwrap().cause.to_string();
    assert!(failed.contains("status 500, at send 2"), "{failed}");
    let left = timeline("left-1").unwrap().cause.to_string();
    assert!(left.contains("while up-1 had not answered"), "{left}");
}

#[test]
fn an_unknown_request_has_no_timeline() {
    assert!(timeline("nobody").is_none());
}

proptest! {
    /// The request's lines are sorted by time for any order of the lines and any other text in the logs.
    #[test]
    fn lines_are_sorted_by_time(order in Just(MIXED.lines().collect::<Vec<_>>()).prop_shuffle(), noise in ".*") {
        let mut collector = TimelineCollector::new("retried-1");
        collector.read("a", format!("{noise}\n{}", order.join("\n")).as_bytes()).unwrap();
        let timeline = collector.finish().unwrap();
        prop_assert_eq!(timeline.request_lines.len(), 5);
        let times: Vec<_> = timeline.lines().iter().map(|line| line.at_ms).collect();
        prop_assert!(times.is_sorted());
    }
}
