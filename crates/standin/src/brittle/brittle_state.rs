//! Requests at a brittle upstream, and what became of them.

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Span in which rejections are counted.
const SPAN: Duration = Duration::from_secs(1);

/// A request that reached an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier of the caller's attempt.
    pub attempt_id: String,
    /// When it arrived.
    pub at: Instant,
}

/// A request that an upstream rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Identifier of the caller's attempt.
    pub attempt_id: String,
    /// When it was rejected.
    pub at: Instant,
    /// Requests that ran and waited then.
    pub present: u32,
}

/// State of the present process, and the records of all.
#[derive(Debug, Default)]
pub(super) struct BrittleState {
    pub(super) running: u32,
    pub(super) waiting: u32,
    /// Number of processes so far, which tells the counts of an ended one from those of the present one.
    pub(super) life: u64,
    recent: VecDeque<Instant>,
    pub(super) falls: Vec<Instant>,
    pub(super) rejections: Vec<Rejection>,
    pub(super) arrivals: Vec<Arrival>,
}

impl BrittleState {
    /// Forgets what belongs to the process that has ended.
    pub(super) fn begin_process(&mut self) {
        self.running = 0;
        self.waiting = 0;
        self.life += 1;
        self.recent.clear();
    }

    /// Records a rejection; returns how many the last second had.
    pub(super) fn reject(&mut self, attempt_id: &str) -> u32 {
        let now = Instant::now();
        self.rejections.push(Rejection {
            attempt_id: attempt_id.to_owned(),
            at: now,
            present: self.running + self.waiting,
        });
        self.recent.push_back(now);
        self.recent.retain(|at| now - *at < SPAN);
        self.recent.len() as u32
    }
}

/// Counts one request less when it is dropped, as when its connection closes.
pub(super) struct CountGuard<'a> {
    state: &'a Mutex<BrittleState>,
    count: fn(&mut BrittleState) -> &mut u32,
    life: u64,
}

impl<'a> CountGuard<'a> {
    /// Counts one request.
    pub(super) fn begin(
        state: &'a Mutex<BrittleState>,
        locked: &mut BrittleState,
        count: fn(&mut BrittleState) -> &mut u32,
    ) -> Self {
        *count(locked) += 1;
        Self {
            state,
            count,
            life: locked.life,
        }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        // A new process has begun at zero.
        if state.life == self.life {
            *(self.count)(&mut state) -= 1;
        }
    }
}
