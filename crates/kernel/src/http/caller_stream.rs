//! A server's side of a connection, which can end with a reset, tells when its bytes arrived, and reads a close together with the bytes before it.

use std::io::{self, IoSlice, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::arrival::ArrivalClock;
use super::paced_stream::count_as_work;
use super::socket_state::SocketState;

/// How the connection ends, as far as it is not shut down in order.
#[derive(Debug, Clone, Default)]
pub(super) struct ConnectionEnd(Arc<EndFlags>);

#[derive(Debug, Default)]
struct EndFlags {
    /// Whether the connection ends with a reset when it is dropped.
    resets: AtomicBool,
    /// Whether the answer being sent ends with the connection, so that any end but the orderly one must be a reset.
    ends_answer: AtomicBool,
}

/// An accepted connection. A body that ends with its connection can be shown to be broken off only by a reset.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    end: ConnectionEnd,
    /// Whether the system resets the connection if this process ends.
    is_armed: bool,
    arrival: ArrivalClock,
    /// Whether the peer had closed the connection when bytes were last read.
    is_closed_by_peer: bool,
}

impl ConnectionEnd {
    /// Makes the connection end with a reset when it is dropped.
    pub(super) fn reset_on_drop(&self) {
        self.0.resets.store(true, Ordering::Release);
    }

    /// Records that the next answer ends with the connection.
    pub(super) fn ends_answer(&self) {
        self.0.ends_answer.store(true, Ordering::Release);
    }
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, end: ConnectionEnd, arrival: ArrivalClock) -> Self {
        Self {
            stream,
            end,
            is_armed: false,
            arrival,
            is_closed_by_peer: false,
        }
    }

    /// Arms the connection before the first byte of an answer that ends with it: if this process is killed, the system closes its
    /// connections, and without the reset the caller could not tell that from the end of the answer.
    fn arm_if_needed(&mut self) {
        if self.is_armed || !self.end.0.ends_answer.load(Ordering::Acquire) {
            return;
        }
        self.is_armed = self.set_reset_on_close(true);
    }

    /// Lets the connection end in order, after all bytes of the answer were written.
    fn disarm(&mut self) {
        if self.is_armed && !self.end.0.resets.load(Ordering::Acquire) {
            self.is_armed = !self.set_reset_on_close(false);
        }
    }

    /// Sets whether the system resets the connection when it closes it; returns whether that succeeded.
    fn set_reset_on_close(&self, resets: bool) -> bool {
        let linger = resets.then_some(Duration::ZERO);
        let result = SockRef::from(&self.stream).set_linger(linger);
        if let Err(error) = &result {
            spdlog::info!(
                "the end of an answer on a caller's connection cannot be marked: {}",
                error
            );
        }
        result.is_ok()
    }

    /// Reads from the socket, whether or not the runtime has been told yet that it is ready.
    fn read_at_once(&self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let count = (&*SockRef::from(&self.stream)).read(buffer.initialize_unfilled())?;
        buffer.advance(count);
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_closed_by_peer {
            // The runtime may hear of the close later than the request is handled.
            return Poll::Ready(self.read_at_once(buffer));
        }
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - filled;
        if count > 0 {
            count_as_work(count, cx);
            let state = SocketState::of(&self.stream);
            self.arrival.record(state);
            self.is_closed_by_peer = state.is_closed_by_peer;
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.arm_if_needed();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.arm_if_needed();
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.disarm();
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.end.0.resets.load(Ordering::Acquire) {
            self.set_reset_on_close(true);
        }
    }
}
