//! The lines of one request, and what the router believed around them.

use std::collections::HashSet;
use std::io::{self, BufRead};

use super::{LogLine, StoryCause};

/// Messages that tell a change of what a router believes, or of its life; a part of the message is enough.
const BELIEFS: [&str; 9] = [
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
/// Message of a change of an upstream.
const UPSTREAM: &str = "upstream";
/// Time before a request's first line in which changes may explain it, in milliseconds.
const BEFORE_MS: u64 = 10_000;
/// Time after its last line in which they may, in milliseconds.
const AFTER_MS: u64 = 1_500;

/// Collects what may belong to a story from lines in any order.
#[derive(Debug, Clone)]
pub struct StoryCollector {
    request: String,
    own: Vec<LogLine>,
    /// Lines about no request.
    beliefs: Vec<LogLine>,
}

/// What the logs tell about one request.
#[derive(Debug, Clone)]
pub struct RequestStory {
    /// Id of the request.
    pub request: String,
    /// Its lines in order of time; never empty.
    pub own: Vec<LogLine>,
    /// Changes on the same routers that may explain it, in order of time.
    pub around: Vec<LogLine>,
    /// Why it ended as it did.
    pub cause: StoryCause,
}

impl StoryCollector {
    /// A collector for the request with the id `request`.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            own: Vec::new(),
            beliefs: Vec::new(),
        }
    }

    /// Reads all lines of a file named `file`; what is no structured line is passed over.
    ///
    /// # Errors
    ///
    /// Fails when the input cannot be read.
    pub fn read(&mut self, file: &str, input: impl BufRead) -> io::Result<()> {
        for text in input.split(b'\n') {
            let text = text?;
            if let Some(line) = LogLine::parse(file, &String::from_utf8_lossy(&text)) {
                self.take(line);
            }
        }
        Ok(())
    }

    /// Takes in one line.
    pub fn take(&mut self, line: LogLine) {
        if line.fact("request_id") == self.request {
            self.own.push(line);
        } else if is_belief(&line) {
            self.beliefs.push(line);
        }
    }

    /// The story, if a line of the request was found.
    pub fn finish(self) -> Option<RequestStory> {
        let Self {
            request,
            mut own,
            beliefs,
        } = self;
        own.sort_by_key(|line| line.at_ms);
        let around = explaining(&own, beliefs)?;
        let cause = StoryCause::of(&own, &around);
        Some(RequestStory {
            request,
            own,
            around,
            cause,
        })
    }
}

impl RequestStory {
    /// The request's lines and the changes around them, in order of time.
    pub fn lines(&self) -> Vec<&LogLine> {
        let mut lines: Vec<_> = self.around.iter().chain(&self.own).collect();
        lines.sort_by_key(|line| line.at_ms);
        lines
    }
}

fn is_belief(line: &LogLine) -> bool {
    line.message == UPSTREAM || BELIEFS.iter().any(|belief| line.message.contains(belief))
}

/// The changes that may explain the request: on its routers, near it, and of its upstreams only.
///
/// The configuration that was in force counts however old it is.
fn explaining(own: &[LogLine], mut beliefs: Vec<LogLine>) -> Option<Vec<LogLine>> {
    let (first, last) = (own.first()?.at_ms, own.last()?.at_ms);
    let sources: HashSet<&str> = own.iter().map(|line| line.source.as_str()).collect();
    let upstreams: HashSet<&str> = own.iter().map(|line| line.fact("upstream")).collect();
    let revision = own.iter().map(|line| line.number("revision")).max();
    beliefs.retain(|line| {
        let near = line.at_ms + BEFORE_MS >= first && line.at_ms <= last + AFTER_MS;
        let in_force = line.message.contains("configuration in force")
            && Some(line.number("revision")) == revision;
        let of_request = line.message != UPSTREAM || upstreams.contains(line.fact("upstream"));
        sources.contains(line.source.as_str()) && of_request && (near || in_force)
    });
    beliefs.sort_by_key(|line| line.at_ms);
    Some(beliefs)
}
