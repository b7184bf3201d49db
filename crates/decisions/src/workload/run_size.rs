//! Size of a request and what was observed of its run.

use std::time::Duration;

/// Size of a request as its headers state it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt; in an observation, those that the upstream had to process.
    pub prompt_tokens: u32,
    /// Maximum number of answer tokens; 0 when the request states none.
    pub answer_limit: u32,
    /// The caller's estimate of the number of answer tokens; absent when it is missing or implausible.
    pub hint: Option<u32>,
}

/// What was observed of one run at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunObservation {
    /// Size of the request.
    pub size: RequestSize,
    /// Time from the send to the response head.
    pub head: Duration,
    /// Number of stream events that were received.
    pub events: u32,
    /// Time from the response head to the end.
    pub body: Duration,
    /// Whether the answer ended by itself; the size of an answer that was broken off is unknown.
    pub is_complete: bool,
}

/// Largest number of answer tokens that a hint may state.
const MAX_HINT: u32 = 1_000_000;

/// The hint in the values of its header; `None` unless there is exactly one, and it is a plausible number.
pub fn plausible_hint<'a>(values: impl IntoIterator<Item = &'a str>) -> Option<u32> {
    let mut values = values.into_iter();
    let hint: u32 = match (values.next(), values.next()) {
        (Some(value), None) => value.trim().parse().ok()?,
        _ => return None,
    };
    (1..=MAX_HINT).contains(&hint).then_some(hint)
}
