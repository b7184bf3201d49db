//! Active faults, which every call and every engine step checks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use tokio::sync::{mpsc, watch};

use super::{CrashOrder, FaultOrder, OutageAnswer};

/// Capacity of the queue of crashes to carry out; a second crash while one is pending has no
/// effect.
const CRASH_QUEUE_CAPACITY: usize = 1;

/// Shared state of the active faults.
#[derive(Debug)]
pub(crate) struct FaultGate {
    order: watch::Sender<Arc<FaultOrder>>,
    /// Number of answers still to be lost.
    remaining_losses: AtomicU64,
    crashes: mpsc::Sender<CrashOrder>,
}

impl FaultGate {
    /// Creates a gate without faults, and the receiver of the crashes reported to it.
    pub(crate) fn new() -> (Self, mpsc::Receiver<CrashOrder>) {
        let (crashes, receiver) = mpsc::channel(CRASH_QUEUE_CAPACITY);
        let gate = Self {
            order: watch::Sender::new(Arc::default()),
            remaining_losses: AtomicU64::new(0),
            crashes,
        };
        (gate, receiver)
    }

    /// Replaces all active faults.
    pub(crate) fn set(&self, order: FaultOrder) {
        let count = order.lose_answers.as_ref().map_or(0, |loss| loss.count);
        self.remaining_losses.store(count, Ordering::Relaxed);
        self.order.send_replace(Arc::new(order));
    }

    /// The active faults.
    pub(crate) fn order(&self) -> Arc<FaultOrder> {
        self.order.borrow().clone()
    }

    /// Waits until no freeze is active.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut receiver = self.order.subscribe();
        // `self` owns the sender, so the wait cannot fail.
        let _ = receiver.wait_for(|order| !order.freeze).await;
    }

    /// How a call to `path` fails; absent when no outage applies to it.
    pub(crate) fn outage(&self, path: &str) -> Option<OutageAnswer> {
        let order = self.order.borrow();
        let outage = order.outage.as_ref()?;
        path.starts_with(&outage.path).then_some(outage.answer)
    }

    /// Delay added to a call to `path`.
    pub(crate) fn added_delay(&self, path: &str) -> Duration {
        let order = self.order.borrow();
        match &order.slow {
            Some(slow) if path.starts_with(&slow.path) => Duration::from_millis(slow.ms),
            _ => Duration::ZERO,
        }
    }

    /// Whether the answer to this call must be lost; if so, decrements the number of remaining
    /// losses.
    pub(crate) fn take_loss(&self, method: &Method, path: &str) -> bool {
        let order = self.order.borrow();
        let Some(loss) = &order.lose_answers else {
            return false;
        };
        method != Method::GET
            && path.starts_with(&loss.path)
            && self
                .remaining_losses
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                    remaining.checked_sub(1)
                })
                .is_ok()
    }

    /// The crash that a request with `body` causes; absent when the body lacks the crash marker.
    pub(crate) fn crash_for(&self, body: &[u8]) -> Option<CrashOrder> {
        let order = self.order.borrow();
        let crash = order.crash.as_ref()?;
        let marker = crash.marker.as_bytes();
        body.windows(marker.len())
            .any(|window| window == marker)
            .then(|| crash.clone())
    }

    /// Reports a crash, for the server to carry out.
    pub(crate) fn report_crash(&self, crash: CrashOrder) {
        // A full queue means that a crash is already pending.
        let _ = self.crashes.try_send(crash);
    }
}
