//! Bounded queue of log lines, written to standard output by a thread of its own.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Most lines that wait for standard output.
const QUEUE_LINES: usize = 4_096;

/// Takes whole lines and never waits.
pub(super) struct LineQueue {
    lines: SyncSender<Vec<u8>>,
}

impl LineQueue {
    /// Starts the thread that writes the lines.
    pub(super) fn start() -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_lines(&queue))?;
        Ok(Self { lines })
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                metrics::counter!("ferry_log_lines_dropped_total").increment(1);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is closed or standard output is.
fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(line) = queue.recv() {
        let mut batch = line;
        batch.extend(queue.try_iter().take(QUEUE_LINES).flatten());
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
