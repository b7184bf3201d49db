//! Event queue of the virtual clock.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

use ferry_decisions::retry::UpstreamFailure;

/// A simulated event.
#[derive(Debug, Clone, Copy)]
pub(super) enum RunEvent {
    /// A request arrives at its router.
    Arrival(usize),
    /// A dispatched request reaches the engine of its attempt.
    Delivery { request: usize, attempt: u32 },
    /// An engine ends a step; ignored when the engine has crashed since the step began.
    Step { engine: usize, incarnation: u32 },
    /// The complete answer reaches the router.
    Answer { request: usize, attempt: u32 },
    /// The failure of an attempt reaches the router.
    Failure {
        request: usize,
        attempt: u32,
        failure: UpstreamFailure,
    },
    /// The deadline of a request passes and its caller stops waiting.
    Deadline(usize),
    /// Routers read load reports and exchange messages with their peers.
    Tick,
    /// A fault begins.
    FaultBegin(usize),
    /// A fault ends.
    FaultEnd(usize),
}

#[derive(Debug)]
struct QueuedEvent {
    at: Duration,
    /// Sequence number: events of the same time are handled in the order in which they were added.
    order: u64,
    event: RunEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    /// Reversed: the earliest event is the greatest, since [`BinaryHeap`] returns the greatest
    /// first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Scheduled events, ordered by time.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<QueuedEvent>,
    added: u64,
}

impl EventQueue {
    /// Schedules `event` at the time `at`.
    pub(super) fn push(&mut self, at: Duration, event: RunEvent) {
        self.added += 1;
        let order = self.added;
        self.heap.push(QueuedEvent { at, order, event });
    }

    /// Removes and returns the next event with its time; `None` when no event is left.
    pub(super) fn pop(&mut self) -> Option<(Duration, RunEvent)> {
        self.heap.pop().map(|queued| (queued.at, queued.event))
    }
}
