//! State of one request in a simulated run.

use std::time::Duration;

use ferry_decisions::admission::{FairStanding, PriorityClass, QueueRank};
use ferry_decisions::names::HostName;
use ferry_decisions::retry::RunState;
use smallvec::SmallVec;

use super::arrival_trace::ArrivalEntry;

/// One request and the state of its attempts.
#[derive(Debug, Clone)]
pub(super) struct SimulatedRequest {
    /// Properties of the request as generated.
    pub(super) entry: ArrivalEntry,
    /// Time at which the caller stops waiting.
    pub(super) deadline: Duration,
    /// Attempts made.
    pub(super) attempts: u32,
    /// Engine of the current attempt; `None` between attempts.
    pub(super) engine: Option<usize>,
    /// Queue rank of the current attempt.
    pub(super) rank: QueueRank,
    /// Names of the engines to which the request was dispatched.
    pub(super) tried: SmallVec<[HostName; 3]>,
    /// Whether a failed attempt may have run the request.
    pub(super) run: RunState,
    /// Whether the request was answered or refused, or its deadline passed.
    pub(super) done: bool,
}

impl SimulatedRequest {
    /// Creates a request without attempts.
    pub(super) fn new(entry: ArrivalEntry, deadline: Duration) -> Self {
        Self {
            entry,
            deadline,
            attempts: 0,
            engine: None,
            rank: QueueRank::new(PriorityClass::Normal, FairStanding::Within),
            tried: SmallVec::new(),
            run: RunState::NotRun,
            done: false,
        }
    }

    /// Whether `attempt` is the current attempt and has not ended.
    pub(super) fn is_current_attempt(&self, attempt: u32) -> bool {
        !self.done && self.engine.is_some() && self.attempts == attempt
    }
}
