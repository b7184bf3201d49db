//! Cause of a request's outcome, with a text for operators.

use std::fmt;

use super::LogLine;

/// Lowest HTTP status of a failure.
const FAILURE_STATUS: u64 = 400;

/// Cause of a request's outcome, as far as its log lines show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OutcomeCause {
    /// Refused before its body was read.
    Refused {
        /// Reason as named in the log.
        reason: String,
    },
    /// Answered by an upstream, with success or failure.
    Answered {
        /// Number of times that it was sent to an upstream.
        sends: u64,
        /// HTTP status of the answer.
        status: u64,
    },
    /// The caller closed its connection before the answer ended.
    CallerGone {
        /// Time for which the caller had waited, in milliseconds.
        waited_ms: u64,
        /// Upstream that had not answered yet; empty when the answer had begun or nothing was sent.
        awaited_upstream: String,
    },
    /// Given up by the router after its body was read.
    GivenUp {
        /// Reason as named in the log.
        reason: String,
        /// The last failure of an upstream, with the decision whether to retry.
        last_failure: Option<String>,
    },
    /// No line records its outcome.
    NoOutcome {
        /// Whether a start or stop of the router's process was logged after the request's last line.
        process_ended: bool,
    },
}

impl OutcomeCause {
    /// Derives the cause from the request's log lines, sorted by time, and from the state changes of
    /// its routers around them.
    pub fn of(request_lines: &[LogLine], related_changes: &[LogLine]) -> Self {
        let last_line = |message: &str| {
            request_lines
                .iter()
                .rev()
                .find(|line| line.message == message)
        };
        if let Some(line) = last_line("request refused") {
            return Self::Refused {
                reason: line.text_field("reason").to_owned(),
            };
        }
        let Some(line) = last_line("request") else {
            let last = request_lines
                .last()
                .map(|line| line.at_ms)
                .unwrap_or_default();
            let ended = |line: &&LogLine| line.message.starts_with("relay ") && line.at_ms >= last;
            return Self::NoOutcome {
                process_ended: related_changes.iter().any(|line| ended(&line)),
            };
        };
        match line.text_field("outcome") {
            "answered" => Self::Answered {
                sends: line.number_field("sends"),
                status: line.number_field("status"),
            },
            "caller_gone" => Self::CallerGone {
                waited_ms: line.number_field("total_ms"),
                awaited_upstream: awaited_upstream(line),
            },
            reason => Self::GivenUp {
                reason: reason.to_owned(),
                last_failure: last_line("send failed").map(last_failure),
            },
        }
    }
}

impl fmt::Display for OutcomeCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { reason } => write!(f, "refused at once, {}", describe_reason(reason)),
            Self::Answered { sends, status } if *status >= FAILURE_STATUS => write!(
                f,
                "answered with a failure of the upstream, status {status}, at send {sends}"
            ),
            Self::Answered { sends: 0 | 1, .. } => write!(f, "answered by the first upstream"),
            Self::Answered { sends, .. } => write!(f, "answered after {sends} sends"),
            Self::CallerGone {
                waited_ms,
                awaited_upstream,
            } if awaited_upstream.is_empty() => write!(
                f,
                "the caller closed its connection after {waited_ms} ms, before the answer ended"
            ),
            Self::CallerGone {
                waited_ms,
                awaited_upstream,
            } => write!(
                f,
                "the caller closed its connection after {waited_ms} ms, while {awaited_upstream} had not answered"
            ),
            Self::GivenUp {
                reason,
                last_failure: None,
            } => write!(f, "not answered, {}", describe_reason(reason)),
            Self::GivenUp {
                reason,
                last_failure: Some(failure),
            } => write!(f, "not answered, {}; {failure}", describe_reason(reason)),
            Self::NoOutcome {
                process_ended: true,
            } => write!(
                f,
                "interrupted: the router's process ended while the request was in progress"
            ),
            Self::NoOutcome {
                process_ended: false,
            } => write!(
                f,
                "no line records its outcome: the host was lost, or log lines were dropped (see ferry_log_lines_dropped_total)"
            ),
        }
    }
}

/// Upstream that the request was last sent to; empty if its answer had begun.
fn awaited_upstream(line: &LogLine) -> String {
    let begun = line.number_field("first_ms") > 0;
    let upstream = if begun {
        ""
    } else {
        line.text_field("upstream")
    };
    upstream.to_owned()
}

fn last_failure(line: &LogLine) -> String {
    format!(
        "upstream {} failed last: {}, retry decision {}",
        line.text_field("upstream"),
        line.text_field("failure"),
        line.text_field("verdict")
    )
}

/// Explains a reason that the log names.
fn describe_reason(reason: &str) -> String {
    let text = match reason {
        "not_ready" => "since the router knew no rules or no upstreams yet",
        "out_of_touch" => {
            "since the router had not confirmed its rules recently and the key might have been revoked"
        }
        "stopping" => "since the router was about to stop",
        "unknown_route" => "since no rule matched its host and path",
        "unknown_key" => "since its key was missing or not in the rules",
        "malformed" => "since it was incomplete or malformed",
        "body_too_large" => "since its body was longer than the rules allow",
        "no_upstream" => "since no upstream was available for it",
        "no_time" => "since no upstream was expected to answer in the time that its caller had",
        "beyond_share" => {
            "since its service was contended and its workspace was beyond its fair share of it"
        }
        "busy" => "since the queues of the upstreams were full",
        "deadline_passed" => "since it was not answered before its deadline",
        "upstream_failed" => "since an upstream failed and it could not be sent again",
        "quarantined" => "since it had crashed the upstreams that ran it",
        "broken_off" => "since its answer broke off and could not be resumed",
        other => return format!("for the reason {other}"),
    };
    format!("{text} ({reason})")
}
