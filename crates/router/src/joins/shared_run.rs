//! One run's answer as far as it has come, kept for all who listen.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::sync::watch;

use super::{RequestFingerprint, RunListener};
use crate::caller::CallerRefusal;
use crate::dispatch::{RunHead, ServiceAnswer};

/// Bytes of a stream that are kept for sends that come later, and for slow listeners.
const BUFFER_BYTES: usize = 128 * 1024;
/// The same while all runs together hold [`TOTAL_BYTES`].
const SCARCE_BYTES: usize = 4 * 1024;
/// Bytes that all runs may hold before each of them is kept short.
const TOTAL_BYTES: usize = 64 * 1024 * 1024;

/// Start of an answer.
#[derive(Debug, Clone)]
pub enum SharedHead {
    /// A whole completion.
    Whole(RunHead, Bytes),
    /// A stream of which events follow.
    Stream(RunHead),
    /// A service's answer.
    Service(ServiceAnswer),
}

/// Why a send cannot join.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinRefusal {
    /// The run is of a request with other content.
    OtherRequest,
    /// The start of the stream is no longer kept.
    TooLate,
    /// All callers have gone; the run is being cancelled.
    Abandoned,
}

/// How a stream ended: with an error its callers must see it broken off.
pub(super) type StreamEnd = Result<(), String>;

/// One run.
#[derive(Debug)]
pub(super) struct SharedRun {
    fingerprint: RequestFingerprint,
    state: Mutex<SharedState>,
    /// Bytes that all runs hold.
    total: Arc<AtomicUsize>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct SharedState {
    head: Option<Result<SharedHead, CallerRefusal>>,
    /// Events from number `first` on.
    events: VecDeque<Bytes>,
    /// Number of the first event kept; above 0 nobody can join.
    first: usize,
    /// Bytes in `events`.
    kept: usize,
    end: Option<StreamEnd>,
    /// Next event of each listener; `None` for those that have gone.
    cursors: SmallVec<[Option<usize>; 2]>,
}

impl SharedRun {
    /// A run with its first listener.
    pub(super) fn open(
        fingerprint: RequestFingerprint,
        total: Arc<AtomicUsize>,
    ) -> (Arc<Self>, RunListener) {
        let state = SharedState {
            cursors: SmallVec::from_iter([Some(0)]),
            ..SharedState::default()
        };
        let run = Arc::new(Self {
            fingerprint,
            state: Mutex::new(state),
            total,
            changed: watch::channel(()).0,
        });
        let listener = RunListener::new(Arc::clone(&run), 0, run.changed.subscribe());
        (run, listener)
    }

    /// Adds a listener, which gets the answer from its start.
    pub(super) fn listen(
        run: &Arc<Self>,
        fingerprint: RequestFingerprint,
    ) -> Result<RunListener, JoinRefusal> {
        let mut state = run.state.lock();
        if run.fingerprint != fingerprint {
            return Err(JoinRefusal::OtherRequest);
        }
        if state.is_abandoned() {
            return Err(JoinRefusal::Abandoned);
        }
        if state.first > 0 {
            return Err(JoinRefusal::TooLate);
        }
        state.cursors.push(Some(0));
        let slot = state.cursors.len() - 1;
        Ok(RunListener::new(
            Arc::clone(run),
            slot,
            run.changed.subscribe(),
        ))
    }

    /// A receiver that hears of each change from now on.
    pub(super) fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    pub(super) fn is_abandoned(&self) -> bool {
        self.state.lock().is_abandoned()
    }

    /// Whether another event may be kept.
    pub(super) fn has_room(&self) -> bool {
        let mut state = self.state.lock();
        self.trim(&mut state);
        state.kept < self.limit()
    }

    pub(super) fn set_head(&self, head: Result<SharedHead, CallerRefusal>) {
        self.state.lock().head = Some(head);
        self.changed.send_replace(());
    }

    pub(super) fn push(&self, event: Bytes) {
        let mut state = self.state.lock();
        state.kept += event.len();
        self.total.fetch_add(event.len(), Ordering::Relaxed);
        state.events.push_back(event);
        self.trim(&mut state);
        drop(state);
        self.changed.send_replace(());
    }

    pub(super) fn set_end(&self, end: StreamEnd) {
        self.state.lock().end = Some(end);
        self.changed.send_replace(());
    }

    pub(super) fn head(&self) -> Option<Result<SharedHead, CallerRefusal>> {
        self.state.lock().head.clone()
    }

    /// Next event of listener `slot`, or the end; `None` while neither is there.
    pub(super) fn take(&self, slot: usize) -> Option<Result<Bytes, StreamEnd>> {
        let mut state = self.state.lock();
        let cursor = state.cursors[slot]?;
        let Some(event) = state.events.get(cursor - state.first).cloned() else {
            return state.end.clone().map(Err);
        };
        state.cursors[slot] = Some(cursor + 1);
        let may_wait = state.kept >= SCARCE_BYTES;
        self.trim(&mut state);
        drop(state);
        if may_wait {
            self.changed.send_replace(());
        }
        Some(Ok(event))
    }

    /// Removes listener `slot`.
    pub(super) fn leave(&self, slot: usize) {
        let mut state = self.state.lock();
        state.cursors[slot] = None;
        self.trim(&mut state);
        drop(state);
        self.changed.send_replace(());
    }

    /// Bytes that this run may hold now.
    fn limit(&self) -> usize {
        if self.total.load(Ordering::Relaxed) < TOTAL_BYTES {
            BUFFER_BYTES
        } else {
            SCARCE_BYTES
        }
    }

    /// Drops events that all listeners had, once the buffer is full.
    fn trim(&self, state: &mut SharedState) {
        let slowest = state.cursors.iter().flatten().min();
        let slowest = slowest.copied().unwrap_or(usize::MAX);
        while state.kept >= self.limit() && state.first < slowest {
            let Some(event) = state.events.pop_front() else {
                return;
            };
            state.kept -= event.len();
            state.first += 1;
            self.total.fetch_sub(event.len(), Ordering::Relaxed);
        }
    }
}

impl Drop for SharedRun {
    fn drop(&mut self) {
        let kept = self.state.get_mut().kept;
        self.total.fetch_sub(kept, Ordering::Relaxed);
    }
}

impl SharedState {
    fn is_abandoned(&self) -> bool {
        self.cursors.iter().all(Option::is_none)
    }
}
