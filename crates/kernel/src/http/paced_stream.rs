//! Connections whose reading gives way to everything else in the process, and heads of answers that are too long.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::coop::{has_budget_remaining, poll_proceed};
use tokio::time::Instant;

/// Most bytes of one read.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that use up one unit of what the runtime lets a task do before the others have their turn; it gives a task 128 units.
const BYTES_PER_UNIT: usize = 256;

/// The head of an answer is longer than allowed, together with the interim heads before it.
#[derive(Debug, thiserror::Error)]
#[error(
    "the head of an answer is longer than {limit} bytes, with the interim heads before it; look at what the server sends"
)]
struct HeadTooLong {
    limit: usize,
}

/// Bytes that may still come before the head of an answer is complete, interim heads included. Clones share the count.
///
/// An HTTP library skips interim heads without end; only the connection can count them.
#[derive(Debug, Clone)]
pub struct HeadLimit {
    limit: usize,
    /// `usize::MAX` while no head is awaited.
    left: Arc<AtomicUsize>,
}

/// What was read from a connection so far. Clones share it.
#[derive(Debug, Clone)]
pub struct ReadMeter {
    opened_at: Instant,
    state: Arc<ReadState>,
}

#[derive(Debug, Default)]
struct ReadState {
    bytes: AtomicU64,
    /// Milliseconds from the opening to the last read that brought something.
    last_ms: AtomicU64,
}

impl Default for ReadMeter {
    fn default() -> Self {
        Self {
            opened_at: Instant::now(),
            state: Arc::default(),
        }
    }
}

impl ReadMeter {
    /// Number of bytes.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Time since something was read last; since the opening if nothing was.
    pub fn quiet_time(&self) -> Duration {
        let last = Duration::from_millis(self.state.last_ms.load(Ordering::Relaxed));
        self.opened_at.elapsed().saturating_sub(last)
    }

    fn record(&self, bytes: usize) {
        let elapsed = self.opened_at.elapsed().as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.state.last_ms.store(elapsed, Ordering::Relaxed);
        self.state.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A client's side of a connection.
#[derive(Debug)]
pub struct PacedStream<S> {
    stream: S,
    head: HeadLimit,
    meter: ReadMeter,
}

impl HeadLimit {
    /// A limit of `limit` bytes for each answer; no head is awaited yet.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            left: Arc::new(AtomicUsize::new(usize::MAX)),
        }
    }

    /// Begins to count for the answer to a request that is about to be sent.
    pub fn begin(&self) {
        self.left.store(self.limit, Ordering::Relaxed);
    }

    /// Ends the count: the head is complete.
    pub fn end(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.left.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: usize) {
        let left = self.left();
        if left != usize::MAX {
            self.left.store(left - bytes.min(left), Ordering::Relaxed);
        }
    }

    fn error(&self) -> io::Error {
        let limit = self.limit;
        io::Error::new(ErrorKind::InvalidData, HeadTooLong { limit })
    }
}

impl<S> PacedStream<S> {
    /// A connection on which `head` counts.
    pub fn new(stream: S, head: HeadLimit) -> Self {
        Self {
            stream,
            head,
            meter: ReadMeter::default(),
        }
    }

    /// A connection on which nothing counts the heads of answers.
    pub fn without_limit(stream: S) -> Self {
        Self::new(stream, HeadLimit::new(usize::MAX))
    }

    /// What was read from the connection.
    pub fn meter(&self) -> &ReadMeter {
        &self.meter
    }

    /// The connection itself.
    pub fn inner(&self) -> &S {
        &self.stream
    }
}

/// Counts `bytes` that a task has read as work, so that the other tasks have their turn.
pub(super) fn count_as_work(bytes: usize, cx: &mut Context<'_>) {
    for _ in 0..bytes / BYTES_PER_UNIT {
        if !has_budget_remaining() {
            return;
        }
        if let Poll::Ready(progress) = poll_proceed(cx) {
            progress.made_progress();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.head.left();
        if left == 0 {
            return Poll::Ready(Err(self.head.error()));
        }
        let progress = ready!(poll_proceed(cx));
        let most = buffer.remaining().min(READ_BYTES).min(left);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        progress.made_progress();
        self.head.count(count);
        self.meter.record(count);
        count_as_work(count, cx);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Connection for PacedStream<TcpStream> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}
