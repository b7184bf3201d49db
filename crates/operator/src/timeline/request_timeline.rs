//! Log lines of one request, with the state changes of its routers around them.

use std::collections::HashSet;
use std::io::{self, BufRead};

use super::{LogLine, OutcomeCause};

/// Parts of messages that report a change of a router's configuration, store access or roll-outs, or
/// a start or stop of its process.
const STATE_CHANGES: [&str; 9] = [
    "relay started",
    "relay leaves",
    "relay stopped",
    "configuration in force",
    "topic cannot be read",
    "topic is read again",
    "the store is read",
    "roll-out phase",
    "the new version does harm",
];
/// Message that reports a change of an upstream.
const UPSTREAM_CHANGE: &str = "upstream";
/// Time before a request's first line in which state changes may explain it, in milliseconds.
const LOOKBACK_MS: u64 = 10_000;
/// Time after a request's last line in which state changes may explain it, in milliseconds.
const LOOKAHEAD_MS: u64 = 1_500;

/// Collects the log lines that may belong to a request's timeline, in any order.
#[derive(Debug, Clone)]
pub struct TimelineCollector {
    request: String,
    request_lines: Vec<LogLine>,
    /// State changes of all routers.
    state_changes: Vec<LogLine>,
}

/// Timeline of one request, as recorded in the logs.
#[derive(Debug, Clone)]
pub struct RequestTimeline {
    /// Id of the request.
    pub request: String,
    /// Log lines of the request in order of time; never empty.
    pub request_lines: Vec<LogLine>,
    /// State changes of the same routers that may explain its outcome, in order of time.
    pub related_changes: Vec<LogLine>,
    /// Why the request ended as it did.
    pub cause: OutcomeCause,
}

impl TimelineCollector {
    /// Creates a collector for the request with the id `request`.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            request_lines: Vec::new(),
            state_changes: Vec::new(),
        }
    }

    /// Reads all lines of a file named `file`; lines that are not structured are skipped.
    ///
    /// # Errors
    ///
    /// Fails when the input cannot be read.
    pub fn read(&mut self, file: &str, input: impl BufRead) -> io::Result<()> {
        for text in input.split(b'\n') {
            let text = text?;
            if let Some(line) = LogLine::parse(file, &String::from_utf8_lossy(&text)) {
                self.add_line(line);
            }
        }
        Ok(())
    }

    /// Adds a line if it belongs to the request or reports a state change; ignores all others.
    pub fn add_line(&mut self, line: LogLine) {
        if line.text_field("request_id") == self.request {
            self.request_lines.push(line);
        } else if is_state_change(&line) {
            self.state_changes.push(line);
        }
    }

    /// Returns the timeline; `None` if no line of the request was found.
    pub fn finish(self) -> Option<RequestTimeline> {
        let Self {
            request,
            mut request_lines,
            state_changes,
        } = self;
        request_lines.sort_by_key(|line| line.at_ms);
        let related_changes = select_related_changes(&request_lines, state_changes)?;
        let cause = OutcomeCause::of(&request_lines, &related_changes);
        Some(RequestTimeline {
            request,
            request_lines,
            related_changes,
            cause,
        })
    }
}

impl RequestTimeline {
    /// The request's log lines and the state changes around them, in order of time.
    pub fn lines(&self) -> Vec<&LogLine> {
        let mut lines: Vec<_> = self
            .related_changes
            .iter()
            .chain(&self.request_lines)
            .collect();
        lines.sort_by_key(|line| line.at_ms);
        lines
    }
}

fn is_state_change(line: &LogLine) -> bool {
    line.message == UPSTREAM_CHANGE
        || STATE_CHANGES
            .iter()
            .any(|change| line.message.contains(change))
}

/// The state changes that may explain the request: those of its routers that are near it in time
/// and, if they concern an upstream, one of its upstreams.
///
/// The configuration that was in force for the request is included regardless of its age.
fn select_related_changes(
    request_lines: &[LogLine],
    mut state_changes: Vec<LogLine>,
) -> Option<Vec<LogLine>> {
    let (first, last) = (request_lines.first()?.at_ms, request_lines.last()?.at_ms);
    let sources: HashSet<&str> = request_lines
        .iter()
        .map(|line| line.source.as_str())
        .collect();
    let upstreams: HashSet<&str> = request_lines
        .iter()
        .map(|line| line.text_field("upstream"))
        .collect();
    let revision = request_lines
        .iter()
        .map(|line| line.number_field("revision"))
        .max();
    state_changes.retain(|line| {
        let near = line.at_ms + LOOKBACK_MS >= first && line.at_ms <= last + LOOKAHEAD_MS;
        let in_force = line.message.contains("configuration in force")
            && Some(line.number_field("revision")) == revision;
        let of_request =
            line.message != UPSTREAM_CHANGE || upstreams.contains(line.text_field("upstream"));
        sources.contains(line.source.as_str()) && of_request && (near || in_force)
    });
    state_changes.sort_by_key(|line| line.at_ms);
    Some(state_changes)
}
