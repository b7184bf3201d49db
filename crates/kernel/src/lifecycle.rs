//! Signals that stop a daemon.

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

/// Installs handlers for SIGTERM and SIGINT and returns the channel that receives the signals.
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
