//! The faults in force, as every call and every engine step sees them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use tokio::sync::{mpsc, watch};

use super::{CrashOrder, FaultOrder, OutageAnswer};

/// Crash reports that wait to be carried out; more than one changes nothing.
const CRASH_QUEUE: usize = 1;

/// Shared view of the faults in force.
#[derive(Debug)]
pub(crate) struct FaultGate {
    order: watch::Sender<Arc<FaultOrder>>,
    /// Answers that are still to be lost.
    losses: AtomicU64,
    crashes: mpsc::Sender<CrashOrder>,
}

impl FaultGate {
    /// A gate without faults, and the receiver of the crashes that it reports.
    pub(crate) fn new() -> (Self, mpsc::Receiver<CrashOrder>) {
        let (crashes, receiver) = mpsc::channel(CRASH_QUEUE);
        let gate = Self {
            order: watch::Sender::new(Arc::default()),
            losses: AtomicU64::new(0),
            crashes,
        };
        (gate, receiver)
    }

    /// Replaces all faults.
    pub(crate) fn set(&self, order: FaultOrder) {
        let count = order.lose_answers.as_ref().map_or(0, |loss| loss.count);
        self.losses.store(count, Ordering::Relaxed);
        self.order.send_replace(Arc::new(order));
    }

    /// The faults in force.
    pub(crate) fn order(&self) -> Arc<FaultOrder> {
        self.order.borrow().clone()
    }

    /// Waits until no freeze is in force.
    pub(crate) async fn thawed(&self) {
        let mut receiver = self.order.subscribe();
        // The sender lives as long as `self`, so that the wait cannot fail.
        let _ = receiver.wait_for(|order| !order.freeze).await;
    }

    /// How a call to `path` fails now, if it does.
    pub(crate) fn outage(&self, path: &str) -> Option<OutageAnswer> {
        let order = self.order.borrow();
        let outage = order.outage.as_ref()?;
        path.starts_with(&outage.path).then_some(outage.answer)
    }

    /// Time added to a call to `path`.
    pub(crate) fn slowness(&self, path: &str) -> Duration {
        let order = self.order.borrow();
        match &order.slow {
            Some(slow) if path.starts_with(&slow.path) => Duration::from_millis(slow.ms),
            _ => Duration::ZERO,
        }
    }

    /// Whether the answer to this call is to be lost; counts it when it is.
    pub(crate) fn take_loss(&self, method: &Method, path: &str) -> bool {
        let order = self.order.borrow();
        let Some(loss) = &order.lose_answers else {
            return false;
        };
        method != Method::GET
            && path.starts_with(&loss.path)
            && self
                .losses
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                    left.checked_sub(1)
                })
                .is_ok()
    }

    /// The crash that a request with `body` causes, if it does.
    pub(crate) fn crash_for(&self, body: &[u8]) -> Option<CrashOrder> {
        let order = self.order.borrow();
        let crash = order.crash.as_ref()?;
        let marker = crash.marker.as_bytes();
        body.windows(marker.len())
            .any(|window| window == marker)
            .then(|| crash.clone())
    }

    /// Reports a crash, which the server then carries out.
    pub(crate) fn report_crash(&self, crash: CrashOrder) {
        // A full queue means that the stand-in is already crashing.
        let _ = self.crashes.try_send(crash);
    }
}
