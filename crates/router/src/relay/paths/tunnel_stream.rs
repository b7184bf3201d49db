//! The near end of a tunnel: a byte stream to an upstream over a connection to another router.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use futures::{Sink, Stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

use crate::peer::PeerSocket;

/// Maximum size of one message of data, in bytes.
pub const MAX_DATA_BYTES: usize = 64 * 1024;
/// Close code with which the far end says that the upstream reset its connection.
pub const RESET_CODE: CloseCode = CloseCode::Error;

/// What became of a tunnel, shared with the connection that uses it.
#[derive(Debug, Default)]
pub struct TunnelState {
    stops: AtomicBool,
    is_lost: AtomicBool,
}

impl TunnelState {
    /// Whether the router at the far end stops, so that the tunnel carries no further request.
    pub fn stops(&self) -> bool {
        self.stops.load(Ordering::Acquire)
    }

    /// Whether the tunnel broke between the routers; the upstream is not to blame.
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Acquire)
    }
}

/// Byte stream through another router.
#[derive(Debug)]
pub struct TunnelStream {
    socket: PeerSocket,
    /// Received data that has not been read.
    unread: Bytes,
    state: Arc<TunnelState>,
}

impl TunnelStream {
    /// The stream over `socket`, on which the tunnel was opened.
    pub fn new(socket: PeerSocket) -> Self {
        Self {
            socket,
            unread: Bytes::new(),
            state: Arc::default(),
        }
    }

    /// What becomes of the tunnel.
    pub fn state(&self) -> &Arc<TunnelState> {
        &self.state
    }

    fn lose(&self, detail: &str) -> io::Error {
        self.state.is_lost.store(true, Ordering::Release);
        io::Error::new(ErrorKind::ConnectionAborted, detail.to_owned())
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            let message = ready!(Pin::new(&mut self.socket).poll_next(context));
            match message {
                Some(Ok(Message::Binary(data))) => self.unread = data,
                Some(Ok(Message::Text(_))) => self.state.stops.store(true, Ordering::Release),
                Some(Ok(Message::Close(Some(frame)))) if frame.code == CloseCode::Normal => {
                    return Poll::Ready(Ok(()));
                }
                Some(Ok(Message::Close(Some(frame)))) if frame.code == RESET_CODE => {
                    let reset = io::Error::from(ErrorKind::ConnectionReset);
                    return Poll::Ready(Err(reset));
                }
                Some(Ok(Message::Close(_))) | None => {
                    return Poll::Ready(Err(self.lose("the other router closed the tunnel")));
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => return Poll::Ready(Err(self.lose(&error.to_string()))),
            }
        }
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = ready!(Pin::new(&mut self.socket).poll_ready(context)) {
            return Poll::Ready(Err(self.lose(&error.to_string())));
        }
        let length = data.len().min(MAX_DATA_BYTES);
        let message = Message::Binary(Bytes::copy_from_slice(&data[..length]));
        match Pin::new(&mut self.socket).start_send(message) {
            Ok(()) => Poll::Ready(Ok(length)),
            Err(error) => Poll::Ready(Err(self.lose(&error.to_string()))),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match ready!(Pin::new(&mut self.socket).poll_flush(context)) {
            Ok(()) => Poll::Ready(Ok(())),
            Err(error) => Poll::Ready(Err(self.lose(&error.to_string()))),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match ready!(Pin::new(&mut self.socket).poll_close(context)) {
            Ok(()) => Poll::Ready(Ok(())),
            Err(error) => Poll::Ready(Err(io::Error::other(error))),
        }
    }
}
