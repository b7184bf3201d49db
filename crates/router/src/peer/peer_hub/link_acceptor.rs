//! Accepts links and streams of other routers.

use std::sync::Arc;

use ferry_kernel::http::PacedStream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::accept_hdr_async_with_config;
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};

use super::{
    ACCEPT_RETRY_DELAY, HANDSHAKE_TIMEOUT, MAX_CONCURRENT_HANDSHAKES, PeerHub, STREAM_PATH,
    handshake_timeout, log_link_error, socket_config,
};
use crate::peer::link_table::LinkSide;
use crate::peer::peer_handshake::accept_handshake;
use crate::peer::{PeerError, PeerIdentity, PeerSocket};
use crate::ports::set_dead_peer_timeouts;

impl PeerHub {
    /// Accepts connections of other routers until the hub stops.
    pub(super) async fn accept_loop(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stopping.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                continue;
            };
            let hub = Arc::clone(&self);
            self.tasks.spawn(async move {
                let opened = tokio::select! {
                    opened = timeout(HANDSHAKE_TIMEOUT, hub.accept(stream)) => opened,
                    () = hub.stopping.cancelled() => return,
                };
                drop(permit);
                let result = match opened {
                    Ok(Ok((socket, peer, true))) => {
                        hub.serve_stream(peer, socket).await;
                        Ok(())
                    }
                    Ok(Ok((socket, peer, false))) => {
                        let closing = hub.stopping.child_token();
                        let (link, queue) =
                            hub.add_link(LinkSide::Accepted, peer, &socket, closing);
                        hub.run_link(LinkSide::Accepted, &link, socket, queue).await
                    }
                    Ok(Err(error)) => Err(error),
                    Err(_) => Err(handshake_timeout()),
                };
                log_link_error(result, None);
            });
        }
    }

    /// Accepts a connection; returns whether it is a stream.
    async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<(PeerSocket, PeerIdentity, bool), PeerError> {
        let _ = stream.set_nodelay(true);
        let stream = PacedStream::without_limit(stream);
        let mut is_stream = false;
        // The callback's type is the library's.
        #[allow(clippy::result_large_err)]
        let read_path = |request: &Request, response: Response| {
            is_stream = request.uri().path() == STREAM_PATH;
            Ok(response)
        };
        let mut socket = accept_hdr_async_with_config(stream, read_path, Some(socket_config()))
            .await
            .map_err(|error| PeerError::Handshake(error.to_string()))?;
        let peer = accept_handshake(&mut socket, &self.settings).await?;
        Ok((socket, peer, is_stream))
    }

    /// Serves a stream of `peer` until it ends or the hub stops.
    async fn serve_stream(&self, peer: PeerIdentity, socket: PeerSocket) {
        let Some(handler) = self.streams.get() else {
            return;
        };
        if set_dead_peer_timeouts(socket.get_ref().inner()).is_err() {
            return;
        }
        tokio::select! {
            () = handler(peer, socket) => {}
            () = self.stopping.cancelled() => {}
        }
    }
}
