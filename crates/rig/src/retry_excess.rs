//! The fleet's bound on repeated sends, checked from what callers sent and what reached the upstreams.

use std::collections::HashSet;
use std::fmt;

use ferry_decisions::retry::FleetRetryBound;
use ferry_standin::replica::ReplicaRun;
use tokio::time::Instant;

/// A window with too many repeated sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryExcess {
    /// Repeated sends in the window.
    pub repeats: usize,
    /// Requests that count for it.
    pub requests: usize,
    /// Repeated sends that the bound allows.
    pub allowed: f64,
}

/// The window that exceeds `bound` most; `None` if every window keeps it.
///
/// `sent` has the times at which callers sent requests, `runs` what reached the upstreams of the service. The
/// requests of a window are those in it, in the window before it, or in the window that begins half a window
/// before it, whichever are most.
pub fn worst_retry_excess(
    bound: &FleetRetryBound,
    sent: &[Instant],
    runs: &[ReplicaRun],
) -> Option<RetryExcess> {
    let mut sent = sent.to_vec();
    sent.sort();
    let repeats = repeat_times(runs);
    let ends = repeats.iter().filter_map(|at| at.checked_sub(bound.window));
    // Windows that begin or end with a repeat, or begin with a request.
    let starts = ends
        .chain(repeats.iter().copied())
        .chain(sent.iter().copied());
    starts
        .map(|start| count_window(bound, &sent, &repeats, start))
        .filter(|count| count.repeats as f64 > count.allowed)
        .max_by(|a, b| a.margin().total_cmp(&b.margin()))
}

fn count_window(
    bound: &FleetRetryBound,
    sent: &[Instant],
    repeats: &[Instant],
    start: Instant,
) -> RetryExcess {
    let window = bound.window;
    let begins = [
        Some(start),
        start.checked_sub(window / 2),
        start.checked_sub(window),
    ];
    let requests = begins
        .into_iter()
        .flatten()
        .map(|begin| count_between(sent, begin, begin + window))
        .max()
        .unwrap_or_default();
    RetryExcess {
        repeats: count_between(repeats, start, start + window),
        requests,
        allowed: bound.ratio * requests as f64 + bound.burst,
    }
}

impl RetryExcess {
    /// Repeated sends beyond the bound.
    fn margin(&self) -> f64 {
        self.repeats as f64 - self.allowed
    }
}

impl fmt::Display for RetryExcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} repeated sends for {} requests in one window; {:.1} are allowed",
            self.repeats, self.requests, self.allowed
        )
    }
}

/// Times of all sends but the first of each request, in order.
fn repeat_times(runs: &[ReplicaRun]) -> Vec<Instant> {
    let mut runs: Vec<_> = runs
        .iter()
        .map(|run| (run.at, run.request.attempt_id.as_str()))
        .collect();
    runs.sort();
    let mut seen = HashSet::new();
    let repeats = runs.into_iter().filter(|(_, id)| !seen.insert(*id));
    repeats.map(|(at, _)| at).collect()
}

/// Number of `times`, which are sorted, from `start` to `end`, both included.
fn count_between(times: &[Instant], start: Instant, end: Instant) -> usize {
    let before = times.partition_point(|at| *at < start);
    let until = times.partition_point(|at| *at <= end);
    until - before
}
