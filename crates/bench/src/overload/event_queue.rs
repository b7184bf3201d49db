//! Events in the order of the virtual clock.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

use ferry_decisions::retry::UpstreamFailure;

/// What happens at one time.
#[derive(Debug, Clone, Copy)]
pub(super) enum RunEvent {
    /// A request arrives at its router.
    Arrival(usize),
    /// A dispatched request reaches the engine that its attempt names.
    HandOver { item: usize, attempt: u32 },
    /// An engine ends a step; stale when the engine died since.
    Step { engine: usize, life: u32 },
    /// The whole answer reaches the router.
    Answer { item: usize, attempt: u32 },
    /// The failure of an attempt reaches the router.
    Failure {
        item: usize,
        attempt: u32,
        failure: UpstreamFailure,
    },
    /// The caller gives up.
    Deadline(usize),
    /// Routers read reports and talk to their peers.
    Tick,
    /// A fault begins.
    FaultBegin(usize),
    /// A fault ends.
    FaultEnd(usize),
}

#[derive(Debug)]
struct QueuedEvent {
    at: Duration,
    /// Events of one time keep the order in which they were added.
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
    /// The earliest event is the greatest, as the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// The events to come.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<QueuedEvent>,
    added: u64,
}

impl EventQueue {
    /// Adds `event` at the time `at`.
    pub(super) fn push(&mut self, at: Duration, event: RunEvent) {
        self.added += 1;
        let order = self.added;
        self.heap.push(QueuedEvent { at, order, event });
    }

    /// Takes the next event out.
    pub(super) fn pop(&mut self) -> Option<(Duration, RunEvent)> {
        self.heap.pop().map(|queued| (queued.at, queued.event))
    }
}
