//! Bounded queue of log lines that a dedicated thread writes to standard output.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Maximum number of lines that wait to be written to standard output.
const MAX_QUEUED_LINES: usize = 4_096;

/// Writer that queues whole lines without blocking; lines that do not fit are dropped and counted.
pub(super) struct LineQueue {
    lines: SyncSender<Vec<u8>>,
}

impl LineQueue {
    /// Starts the thread that writes the lines.
    pub(super) fn start() -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
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

/// Writes queued lines until the queue or standard output is closed.
fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(line) = queue.recv() {
        let mut batch = line;
        batch.extend(queue.try_iter().take(MAX_QUEUED_LINES).flatten());
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
