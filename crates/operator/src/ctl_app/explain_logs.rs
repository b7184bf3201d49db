//! `ferryctl explain REQUEST FILE...`: prints the timeline of a request from log lines.

use std::fs::File;
use std::io::{self, BufReader, Write, stdin, stdout};
use std::path::Path;

use serde_json::json;

use super::CtlError;
use super::flags::Explain;
use crate::timeline::{LogLine, RequestTimeline, TimelineCollector};

/// Prints the timeline of the command's request, from the lines of its log files.
pub fn run(command: &Explain, json: bool) -> Result<u8, CtlError> {
    let request = &command.request;
    let mut collector = TimelineCollector::new(request);
    for log in &command.logs {
        read_file(&mut collector, log).map_err(|error| unreadable(log, &error))?;
    }
    if command.stdin {
        let read = collector.read("", stdin().lock());
        read.map_err(|error| unreadable(Path::new("standard input"), &error))?;
    }
    let timeline = collector.finish().ok_or_else(|| {
        CtlError::NoAnswer(format!(
            "no line names {request}; pass the logs of all routers, and check the metric ferry_log_lines_dropped_total"
        ))
    })?;
    let text = if json {
        render_json(&timeline)
    } else {
        render_text(&timeline)
    };
    // A write error only ends the output, for example when a pipe is closed early.
    let _ = stdout().write_all(text.as_bytes());
    Ok(0)
}

fn read_file(collector: &mut TimelineCollector, log: &Path) -> io::Result<()> {
    let name = log.file_name().unwrap_or_default().to_string_lossy();
    collector.read(&name, BufReader::new(File::open(log)?))
}

fn unreadable(log: &Path, error: &io::Error) -> CtlError {
    CtlError::BadInput(format!(
        "{} cannot be read: {error}; pass a readable log file",
        log.display()
    ))
}

fn render_text(timeline: &RequestTimeline) -> String {
    let start = timeline.request_lines[0].at_ms;
    let mut text = format!("{}: {}\n", timeline.request, timeline.cause);
    for line in timeline.lines() {
        let offset = line.at_ms as f64 - start as f64;
        let source = if line.source.is_empty() {
            String::new()
        } else {
            format!("{}  ", line.source)
        };
        let details = line.details();
        text += &format!("{offset:>+9.0} ms  {source}{}  {details}\n", line.message);
    }
    text
}

fn render_json(timeline: &RequestTimeline) -> String {
    let entry = |line: &LogLine| {
        json!({
            "source": line.source,
            "at_ms": line.at_ms,
            "message": line.message,
            "facts": line.fields,
        })
    };
    let lines: Vec<_> = timeline.lines().into_iter().map(entry).collect();
    let document = json!({
        "request": timeline.request,
        "cause": timeline.cause.to_string(),
        "lines": lines,
    });
    format!("{document}\n")
}
