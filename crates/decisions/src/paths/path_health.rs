//! Whether one path works, and when it is to be probed while it does not.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Delay between the failure of a path and its first probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(1_000);

/// Belief about a path: it works until an attempt to connect fails, and then is lost until a probe succeeds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathHealth {
    loss: Option<PathLoss>,
    /// When the other end was last heard over this path.
    heard_at: Option<MonotonicTime>,
}

/// A path that is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PathLoss {
    next_probe: MonotonicTime,
    /// Delay before the probe after the next one.
    delay: Duration,
}

impl PathHealth {
    /// Whether the path is lost.
    pub fn is_lost(&self) -> bool {
        self.loss.is_some()
    }

    /// Records a failed attempt to connect, of a request or a probe; returns whether the path worked before.
    pub fn record_failure(&mut self, now: MonotonicTime) -> bool {
        let delay = self.loss.map_or(FIRST_PROBE_DELAY, |loss| loss.delay);
        let before = self.loss.replace(PathLoss {
            next_probe: now.after(delay),
            delay: (delay * 2).min(MAX_PROBE_DELAY),
        });
        before.is_none()
    }

    /// Records that the other end was heard over this path; returns whether the path was lost before.
    pub fn record_success(&mut self, now: MonotonicTime) -> bool {
        self.heard_at = Some(now);
        self.loss.take().is_some()
    }

    /// When the path is to be probed; `None` while it works.
    pub fn next_probe(&self) -> Option<MonotonicTime> {
        self.loss.map(|loss| loss.next_probe)
    }

    /// Whether the other end was heard over this path in the last `span`.
    pub fn was_heard_within(&self, span: Duration, now: MonotonicTime) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) <= span)
    }
}
