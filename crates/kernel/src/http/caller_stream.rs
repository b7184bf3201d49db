//! A server's side of a connection, which can end with a reset and tells when its bytes arrived.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::arrival::ArrivalClock;

/// Whether the connection ends with a reset when it is dropped.
#[derive(Debug, Clone, Default)]
pub(super) struct ResetFlag(Arc<AtomicBool>);

/// An accepted connection. A body that ends with its connection can be shown to be broken off only by a reset.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    resets: ResetFlag,
    arrival: ArrivalClock,
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
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > filled {
            self.arrival.record(&self.stream);
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
