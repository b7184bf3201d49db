//! Opens links and streams to other routers.

use std::net::SocketAddr;
use std::sync::Arc;

use ferry_decisions::names::HostName;
use ferry_kernel::http::PacedStream;
use rand::Rng;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::client_async_with_config;
use tokio_util::sync::CancellationToken;

use super::{
    HANDSHAKE_TIMEOUT, LINK_PATH, MAX_REDIAL_BACKOFF, MIN_REDIAL_BACKOFF, PeerHub,
    handshake_timeout, log_link_error, socket_config,
};
use crate::peer::link_table::LinkSide;
use crate::peer::peer_handshake::dial_handshake;
use crate::peer::{PeerError, PeerIdentity, PeerSocket};
use crate::ports::connect_from;

impl PeerHub {
    /// Keeps a link to the neighbour `host` open until `stopping` is cancelled.
    pub(super) async fn dial_loop(
        self: Arc<Self>,
        host: HostName,
        address: SocketAddr,
        stopping: CancellationToken,
    ) {
        let mut backoff = MIN_REDIAL_BACKOFF;
        loop {
            let opened = tokio::select! {
                opened = timeout(HANDSHAKE_TIMEOUT, self.dial_link(&host, address)) => opened,
                () = stopping.cancelled() => return,
            };
            let result = match opened {
                Ok(Ok((socket, peer))) => {
                    backoff = MIN_REDIAL_BACKOFF;
                    let closing = stopping.child_token();
                    let (link, queue) = self.add_link(LinkSide::Dialled, peer, &socket, closing);
                    self.run_link(LinkSide::Dialled, &link, socket, queue).await
                }
                Ok(Err(error)) => Err(error),
                Err(_) => Err(handshake_timeout()),
            };
            log_link_error(result, Some(&host));
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::select! {
                () = sleep(backoff.mul_f64(jitter)) => {}
                () = stopping.cancelled() => return,
            }
            backoff = (backoff * 2).min(MAX_REDIAL_BACKOFF);
        }
    }

    /// Opens a link to `host`.
    pub(super) async fn dial_link(
        &self,
        host: &HostName,
        address: SocketAddr,
    ) -> Result<(PeerSocket, PeerIdentity), PeerError> {
        self.dial(host, address, LINK_PATH).await
    }

    /// Opens a connection to `host` for what `path` names.
    pub(super) async fn dial(
        &self,
        host: &HostName,
        address: SocketAddr,
        path: &str,
    ) -> Result<(PeerSocket, PeerIdentity), PeerError> {
        let stream = connect_from(self.settings.listen.ip(), address)
            .await
            .map_err(|error| PeerError::Transport(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let stream = PacedStream::without_limit(stream);
        let url = format!("ws://{address}{path}");
        let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
            .await
            .map_err(|error| PeerError::Handshake(error.to_string()))?;
        let peer = dial_handshake(&mut socket, &self.settings, host).await?;
        Ok((socket, peer))
    }
}
