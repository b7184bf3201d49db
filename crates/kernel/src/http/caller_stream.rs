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
use super::socket_state::SocketState;

/// Whether the connection ends with a reset when it is dropped.
#[derive(Debug, Clone, Default)]
pub(super) struct ResetFlag(Arc<AtomicBool>);

/// An accepted connection. A body that ends with its connection can be shown to be broken off only by a reset.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    resets: ResetFlag,
    arrival: ArrivalClock,
    /// Whether the peer had closed the connection when bytes were last read.
    is_closed_by_peer: bool,
}

impl ResetFlag {
    /// Makes the connection end with a reset.
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, resets: ResetFlag, arrival: ArrivalClock) -> Self {
        Self {
            stream,
            resets,
            arrival,
            is_closed_by_peer: false,
        }
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
        if buffer.filled().len() > filled {
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

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.resets.0.load(Ordering::Acquire) {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            spdlog::info!("a broken answer ends without a reset: {}", error);
        }
    }
}
