//! Whether a request may run, which each send of it must ask, whatever the reason for the send.

use super::RunState;

/// What decides whether a request may run at an upstream, for the first time or again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunGate {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether it ran so far, over all sends.
    pub run: RunState,
}

impl RunGate {
    /// Whether the request may be sent to an upstream that would run it.
    pub fn admits(self) -> bool {
        self.is_repeatable || self.run == RunState::NotRun
    }
}
