//! Signals that stop a daemon.

use nix::sys::signal::{SigSet, SigmaskHow, Signal};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Signals that a daemon handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGTERM: stop gracefully.
    Graceful,
    /// SIGINT: stop gracefully; a second one exits at once.
    Interrupt,
}

/// Signals that a daemon handles and that wait while this is held: what comes before a handler is installed would end the process, and
/// what comes while it is installed would be lost. Holds them for this thread, and for those that it starts for good.
#[derive(Debug)]
#[must_use = "the signals wait until this is dropped"]
pub struct HeldSignals {
    /// Signals that waited before; `None` if the system refused the change.
    former: Option<SigSet>,
}

impl HeldSignals {
    /// Lets SIGTERM, SIGINT and SIGHUP wait.
    pub fn hold() -> Self {
        let signals = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
        let held: SigSet = signals.into_iter().collect();
        let former = held.thread_swap_mask(SigmaskHow::SIG_BLOCK);
        Self {
            former: former.ok(),
        }
    }
}

impl Drop for HeldSignals {
    fn drop(&mut self) {
        if let Some(former) = self.former {
            // Fails only for a set that the system does not know; it gave this one itself.
            let _ = former.thread_set_mask();
        }
    }
}

/// Installs handlers for SIGTERM and SIGINT and returns the channel that receives the signals.
///
/// # Errors
///
/// Fails when the handlers cannot be installed.
pub fn stop_signals() -> std::io::Result<mpsc::Receiver<StopSignal>> {
    let _held = HeldSignals::hold();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, receiver) = mpsc::channel(4);
    tokio::spawn(async move {
        loop {
            let stop = tokio::select! {
                _ = terminate.recv() => StopSignal::Graceful,
                _ = interrupt.recv() => StopSignal::Interrupt,
            };
            if sender.send(stop).await.is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}
