//! Answer of one run, buffered for all its listeners while it arrives.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use ferry_kernel::http::held_piece_bytes;
use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::sync::watch;

use super::{RequestFingerprint, RunListener};
use crate::caller::CallerRefusal;
use crate::dispatch::{RunHead, ServiceAnswer};

/// Maximum bytes of a stream buffered for later duplicates and slow listeners.
const BUFFER_BYTES: usize = 128 * 1024;
/// Maximum bytes of a stream buffered while all runs together hold [`TOTAL_BUFFER_BYTES`] or more.
const REDUCED_BUFFER_BYTES: usize = 4 * 1024;
/// Bytes buffered by all runs together at which the limit of each run drops to
/// [`REDUCED_BUFFER_BYTES`].
const TOTAL_BUFFER_BYTES: usize = 64 * 1024 * 1024;

/// Start of an answer, or the complete answer if it is not streamed.
#[derive(Debug, Clone)]
pub enum SharedHead {
    /// A completion that is returned as one body.
    Whole(RunHead, Bytes),
    /// Start of a stream, whose events follow.
    Stream(RunHead),
    /// A service's answer.
    Service(ServiceAnswer),
}

/// Why a duplicate cannot join a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinRefusal {
    /// The run belongs to a request with different content.
    OtherRequest,
    /// The start of the stream is no longer buffered.
    TooLate,
    /// All callers have disconnected; the run is being cancelled.
    Abandoned,
}

/// How a stream ended. After an error, callers must see the stream end early, not complete.
pub(super) type StreamEnd = Result<(), String>;

/// State shared by the publisher and the listeners of one run.
#[derive(Debug)]
pub(super) struct SharedRun {
    fingerprint: RequestFingerprint,
    state: Mutex<SharedState>,
    /// Memory that the events buffered by all runs take, in bytes.
    total_buffered_bytes: Arc<AtomicUsize>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct SharedState {
    head: Option<Result<SharedHead, CallerRefusal>>,
    /// Buffered events, from number `first_kept` on.
    events: VecDeque<Bytes>,
    /// Number of the first buffered event. If it is above 0, the run cannot be joined.
    first_kept: usize,
    /// Memory that `events` take, in bytes.
    buffered_bytes: usize,
    end: Option<StreamEnd>,
    /// Number of the next event for each listener; `None` once the listener is dropped.
    cursors: SmallVec<[Option<usize>; 2]>,
}

impl SharedRun {
    /// Creates a run and its first listener.
    pub(super) fn open(
        fingerprint: RequestFingerprint,
        total_buffered_bytes: Arc<AtomicUsize>,
    ) -> (Arc<Self>, RunListener) {
        let state = SharedState {
            cursors: SmallVec::from_iter([Some(0)]),
            ..SharedState::default()
        };
        let run = Arc::new(Self {
            fingerprint,
            state: Mutex::new(state),
            total_buffered_bytes,
            changed: watch::channel(()).0,
        });
        let listener = RunListener::new(Arc::clone(&run), 0, run.changed.subscribe());
        (run, listener)
    }

    /// Adds a listener, which receives the answer from its start.
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
        if state.first_kept > 0 {
            return Err(JoinRefusal::TooLate);
        }
        state.cursors.push(Some(0));
        let index = state.cursors.len() - 1;
        Ok(RunListener::new(
            Arc::clone(run),
            index,
            run.changed.subscribe(),
        ))
    }

    /// A receiver that is notified of each change from now on.
    pub(super) fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    pub(super) fn is_abandoned(&self) -> bool {
        self.state.lock().is_abandoned()
    }

    /// Whether another event may be buffered.
    pub(super) fn has_room(&self) -> bool {
        let mut state = self.state.lock();
        self.trim(&mut state);
        state.buffered_bytes < self.limit()
    }

    pub(super) fn set_head(&self, head: Result<SharedHead, CallerRefusal>) {
        self.state.lock().head = Some(head);
        self.changed.send_replace(());
    }

    pub(super) fn push(&self, event: Bytes) {
        let mut state = self.state.lock();
        state.buffered_bytes += held_piece_bytes(&event);
        self.total_buffered_bytes
            .fetch_add(held_piece_bytes(&event), Ordering::Relaxed);
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

    /// Next event of listener `index`, or the end of the stream; `None` until one of them has arrived.
    pub(super) fn next_event(&self, index: usize) -> Option<Result<Bytes, StreamEnd>> {
        let mut state = self.state.lock();
        let cursor = state.cursors[index]?;
        let Some(event) = state.events.get(cursor - state.first_kept).cloned() else {
            return state.end.clone().map(Err);
        };
        state.cursors[index] = Some(cursor + 1);
        let publisher_may_wait = state.buffered_bytes >= REDUCED_BUFFER_BYTES;
        self.trim(&mut state);
        drop(state);
        if publisher_may_wait {
            self.changed.send_replace(());
        }
        Some(Ok(event))
    }

    /// Removes listener `index`.
    pub(super) fn remove_listener(&self, index: usize) {
        let mut state = self.state.lock();
        state.cursors[index] = None;
        self.trim(&mut state);
        drop(state);
        self.changed.send_replace(());
    }

    /// Maximum bytes that this run may buffer now.
    fn limit(&self) -> usize {
        if self.total_buffered_bytes.load(Ordering::Relaxed) < TOTAL_BUFFER_BYTES {
            BUFFER_BYTES
        } else {
            REDUCED_BUFFER_BYTES
        }
    }

    /// While the buffer is full, drops events that all listeners have received.
    fn trim(&self, state: &mut SharedState) {
        let slowest = state.cursors.iter().flatten().min();
        let slowest = slowest.copied().unwrap_or(usize::MAX);
        while state.buffered_bytes >= self.limit() && state.first_kept < slowest {
            let Some(event) = state.events.pop_front() else {
                return;
            };
            state.buffered_bytes -= held_piece_bytes(&event);
            state.first_kept += 1;
            self.total_buffered_bytes
                .fetch_sub(held_piece_bytes(&event), Ordering::Relaxed);
        }
    }
}

impl Drop for SharedRun {
    fn drop(&mut self) {
        let buffered_bytes = self.state.get_mut().buffered_bytes;
        self.total_buffered_bytes
            .fetch_sub(buffered_bytes, Ordering::Relaxed);
    }
}

impl SharedState {
    fn is_abandoned(&self) -> bool {
        self.cursors.iter().all(Option::is_none)
    }
}
