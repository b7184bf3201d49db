//! Start and stop of a daemon: signals and the phases of a graceful shutdown.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Signals that a daemon answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGTERM: stop gracefully.
    Graceful,
    /// SIGINT: stop gracefully; a second one exits at once.
    Interrupt,
}

/// Passes on SIGTERM and SIGINT as they come.
///
/// # Errors
///
/// Fails when the handlers cannot be installed.
pub fn stop_signals() -> std::io::Result<mpsc::Receiver<StopSignal>> {
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
