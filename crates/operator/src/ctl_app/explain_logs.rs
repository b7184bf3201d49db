//! `ferryctl explain REQUEST FILE...`: tells the story of a request from log lines.

use std::fs::File;
use std::io::{self, BufReader, Write, stdin, stdout};
use std::path::Path;

use serde_json::json;

use super::CtlError;
use super::flags::Explain;
use crate::story::{LogLine, RequestStory, StoryCollector};

/// Tells the story of the command's request from the lines of its logs.
pub fn run(command: &Explain, json: bool) -> Result<u8, CtlError> {
    let request = &command.request;
    let mut collector = StoryCollector::new(request);
    for log in &command.logs {
        read_file(&mut collector, log).map_err(|error| unreadable(log, &error))?;
    }
    if command.stdin {
        let read = collector.read("", stdin().lock());
        read.map_err(|error| unreadable(Path::new("standard input"), &error))?;
    }
    let story = collector.finish().ok_or_else(|| {
        CtlError::NoAnswer(format!(
            "no line names {request}; look at the logs of all routers, and for ferry_log_lines_dropped_total"
        ))
    })?;
    let text = if json {
        as_json(&story)
    } else {
        as_text(&story)
    };
    // A pipe that is closed early ends the output.
    let _ = stdout().write_all(text.as_bytes());
    Ok(0)
}

fn read_file(collector: &mut StoryCollector, log: &Path) -> io::Result<()> {
    let name = log.file_name().unwrap_or_default().to_string_lossy();
    collector.read(&name, BufReader::new(File::open(log)?))
}

fn unreadable(log: &Path, error: &io::Error) -> CtlError {
    CtlError::BadInput(format!(
        "{} cannot be read: {error}; name a log file",
        log.display()
    ))
}

fn as_text(story: &RequestStory) -> String {
    let start = story.own[0].at_ms;
    let mut text = format!("{}: {}\n", story.request, story.cause);
    for line in story.lines() {
        let offset = line.at_ms as f64 - start as f64;
        let place = if line.source.is_empty() {
            String::new()
        } else {
            format!("{}  ", line.source)
        };
        let details = line.details();
        text += &format!("{offset:>+9.0} ms  {place}{}  {details}\n", line.message);
    }
    text
}

fn as_json(story: &RequestStory) -> String {
    let entry = |line: &LogLine| {
        json!({
            "source": line.source,
            "at_ms": line.at_ms,
            "message": line.message,
            "facts": line.facts,
        })
    };
    let lines: Vec<_> = story.lines().into_iter().map(entry).collect();
    let told = json!({
        "request": story.request,
        "cause": story.cause.to_string(),
        "lines": lines,
    });
    format!("{told}\n")
}
