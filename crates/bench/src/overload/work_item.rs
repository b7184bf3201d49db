//! One request on its way through a run.

use std::time::Duration;

use ferry_decisions::admission::{FairStanding, PriorityClass, QueueRank};
use ferry_decisions::names::HostName;
use ferry_decisions::retry::RunState;
use smallvec::SmallVec;

use super::arrival_trace::ArrivalEntry;

/// State of one request.
#[derive(Debug, Clone)]
pub(super) struct WorkItem {
    /// What arrived.
    pub(super) entry: ArrivalEntry,
    /// When the caller gives up.
    pub(super) deadline: Duration,
    /// Attempts made.
    pub(super) attempts: u32,
    /// Engine of the attempt under way.
    pub(super) engine: Option<usize>,
    /// Rank of the attempt under way.
    pub(super) rank: QueueRank,
    /// Engines that had the request.
    pub(super) tried: SmallVec<[HostName; 3]>,
    /// What the failed attempts left behind.
    pub(super) run: RunState,
    /// Whether the caller has an answer, a refusal or nothing more to wait for.
    pub(super) done: bool,
}

impl WorkItem {
    /// A request that just arrived.
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

    /// Whether `attempt` is the one under way.
    pub(super) fn awaits(&self, attempt: u32) -> bool {
        !self.done && self.engine.is_some() && self.attempts == attempt
    }
}
