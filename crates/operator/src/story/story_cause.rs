//! Why a request ended as it did, in words.

use std::fmt;

use super::LogLine;

/// Lowest status that says that a request failed.
const FAILURE_STATUS: u64 = 400;

/// Cause of a request's end, as far as the lines tell it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoryCause {
    /// Refused before its body was read.
    Refused {
        /// Reason as the log names it.
        reason: String,
    },
    /// Answered by an upstream, with success or failure.
    Answered {
        /// Upstreams that it was sent to.
        sends: u64,
        /// Status of the answer.
        status: u64,
    },
    /// The caller closed its connection first.
    CallerGone {
        /// Time that it had waited, in milliseconds.
        waited_ms: u64,
        /// Upstream that had not answered yet; empty when the answer had begun or nothing was sent.
        awaited: String,
    },
    /// Given up after it was read.
    GivenUp {
        /// Reason as the log names it.
        reason: String,
        /// The last failure of an upstream, and what was decided on it.
        last_failure: Option<String>,
    },
    /// No line tells its end.
    NoEnd {
        /// Whether the process went through a start or a stop about then.
        process_ended: bool,
    },
}

impl StoryCause {
    /// The cause of the end of the request with the lines `own`; `around` are changes of beliefs.
    pub fn of(own: &[LogLine], around: &[LogLine]) -> Self {
        let end = |message: &str| own.iter().rev().find(|line| line.message == message);
        if let Some(line) = end("request refused") {
            return Self::Refused {
                reason: line.fact("reason").to_owned(),
            };
        }
        let Some(line) = end("request") else {
            let last = own.last().map(|line| line.at_ms).unwrap_or_default();
            let ended = |line: &&LogLine| line.message.starts_with("relay ") && line.at_ms >= last;
            return Self::NoEnd {
                process_ended: around.iter().any(|line| ended(&line)),
            };
        };
        match line.fact("outcome") {
            "answered" => Self::Answered {
                sends: line.number("sends"),
                status: line.number("status"),
            },
            "caller_gone" => Self::CallerGone {
                waited_ms: line.number("total_ms"),
                awaited: awaited(line),
            },
            reason => Self::GivenUp {
                reason: reason.to_owned(),
                last_failure: end("send failed").map(last_failure),
            },
        }
    }
}

impl fmt::Display for StoryCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { reason } => write!(f, "refused at once, {}", meaning(reason)),
            Self::Answered { sends, status } if *status >= FAILURE_STATUS => write!(
                f,
                "answered with the upstream's own failure, status {status}, at send {sends}"
            ),
            Self::Answered { sends: 0 | 1, .. } => write!(f, "answered by the first upstream"),
            Self::Answered { sends, .. } => write!(f, "answered after {sends} sends"),
            Self::CallerGone { waited_ms, awaited } if awaited.is_empty() => write!(
                f,
                "the caller closed its connection after {waited_ms} ms, before the answer ended"
            ),
            Self::CallerGone { waited_ms, awaited } => write!(
                f,
                "the caller closed its connection after {waited_ms} ms, while {awaited} had not answered"
            ),
            Self::GivenUp {
                reason,
                last_failure: None,
            } => write!(f, "not answered, {}", meaning(reason)),
            Self::GivenUp {
                reason,
                last_failure: Some(failure),
            } => write!(f, "not answered, {}; {failure}", meaning(reason)),
            Self::NoEnd {
                process_ended: true,
            } => write!(f, "cut off: the router's process ended while it ran"),
            Self::NoEnd {
                process_ended: false,
            } => write!(
                f,
                "no line tells its end: the host was lost, or lines were dropped (see ferry_log_lines_dropped_total)"
            ),
        }
    }
}

/// The upstream that a request without any answer was sent to last.
fn awaited(line: &LogLine) -> String {
    let begun = line.number("first_ms") > 0;
    let upstream = if begun { "" } else { line.fact("upstream") };
    upstream.to_owned()
}

fn last_failure(line: &LogLine) -> String {
    format!(
        "upstream {} failed last: {}, then {}",
        line.fact("upstream"),
        line.fact("failure"),
        line.fact("verdict")
    )
}

/// What a reason in the log means, for those who read it the first time.
fn meaning(reason: &str) -> String {
    let text = match reason {
        "not_ready" => "since the router knew no rules or no upstreams yet",
        "out_of_touch" => {
            "since the router had not confirmed its rules lately and the key might be revoked"
        }
        "stopping" => "since the router was about to stop",
        "unknown_route" => "since no rule was for its host and path",
        "unknown_key" => "since its key was missing or not in the rules",
        "malformed" => "since it was incomplete or malformed",
        "body_too_large" => "since its body was longer than the rules allow",
        "no_upstream" => "since no upstream could take it",
        "busy" => "since the upstreams were full",
        "deadline_passed" => "since no answer came in time",
        "upstream_failed" => "since an upstream failed and it could not be sent again",
        "quarantined" => "since it had broken off the upstreams that ran it",
        "broken_off" => "since its answer broke off and could not be resumed",
        other => return format!("for the reason {other}"),
    };
    format!("{text} ({reason})")
}
