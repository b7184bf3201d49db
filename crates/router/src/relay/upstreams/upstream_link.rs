//! Connections to upstreams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_kernel::http::{HeadLimit, PacedStream};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::RelayUpstream;
use crate::relay::paths::TunnelState;

/// Time for which an upstream is assumed to keep an idle connection open if its response does not
/// state it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long before the upstream's own idle timeout a connection is no longer used, so that no request is
/// sent while the upstream closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Maximum size of a response head, and of the data read ahead, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;
/// Maximum size of a response head and the interim heads before it, in bytes.
const HEADS_BYTES: usize = 2 * BUFFER_BYTES;

/// An open HTTP/1.1 connection, which carries one request at a time.
#[derive(Debug)]
pub struct UpstreamLink {
    /// Handle for sending requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Bounds the heads of the response that is awaited.
    pub heads: HeadLimit,
    /// Aborts the task that drives the connection, which closes the connection.
    driver: AbortHandle,
    /// End of the time for which the connection can be used while idle.
    idle_until: Instant,
    /// When the connection was opened.
    opened_at: Instant,
    /// Whether it has carried a request before.
    is_reused: bool,
    /// Absent on a direct connection.
    detour: Option<LinkDetour>,
}

/// Router through which a connection goes, and what becomes of the tunnel to it.
pub type LinkDetour = (HostName, Arc<TunnelState>);

impl UpstreamLink {
    /// A connection over `stream`, which was opened at `opened_at`; `detour` if it goes through another router.
    ///
    /// # Errors
    ///
    /// Fails when the connection has just ended.
    pub async fn over<S>(
        stream: S,
        opened_at: Instant,
        detour: Option<LinkDetour>,
    ) -> std::io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let heads = HeadLimit::new(HEADS_BYTES);
        let stream = PacedStream::new(stream, heads.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                spdlog::debug!("connection to an upstream ended: {}", error);
            }
        });
        Ok(Self {
            sender,
            heads,
            driver: driver.abort_handle(),
            idle_until: opened_at,
            opened_at,
            is_reused: false,
            detour,
        })
    }

    /// Router through which the connection goes; `None` if it is direct.
    pub fn detour(&self) -> Option<&HostName> {
        self.detour.as_ref().map(|(router, _)| router)
    }

    /// Whether the connection is open, not busy, and within its idle time.
    pub fn is_usable(&self) -> bool {
        let stops = self
            .detour
            .as_ref()
            .is_some_and(|(_, tunnel)| tunnel.stops());
        self.sender.is_ready() && !stops && Instant::now() < self.idle_until
    }
}

impl Drop for UpstreamLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection in use. Dropping it closes the connection and aborts its request; `give_back` keeps
/// the connection for the next request.
#[derive(Debug)]
pub struct LinkLease {
    upstream: Arc<RelayUpstream>,
    link: UpstreamLink,
}

impl LinkLease {
    /// Leases `link` for a request to `upstream`.
    pub fn new(upstream: Arc<RelayUpstream>, link: UpstreamLink) -> Self {
        Self { upstream, link }
    }

    /// Upstream that the connection leads to.
    pub fn upstream(&self) -> &RelayUpstream {
        &self.upstream
    }

    /// The leased connection.
    pub fn link(&mut self) -> &mut UpstreamLink {
        &mut self.link
    }

    /// When the connection was opened.
    pub fn opened_at(&self) -> Instant {
        self.link.opened_at
    }

    /// Whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.link.is_reused
    }

    /// Router through which the connection goes; `None` if it is direct.
    pub fn detour(&self) -> Option<&HostName> {
        self.link.detour()
    }

    /// Whether the connection broke between this router and another one through which it goes.
    pub fn is_tunnel_lost(&self) -> bool {
        let detour = self.link.detour.as_ref();
        detour.is_some_and(|(_, tunnel)| tunnel.is_lost())
    }

    /// Returns the connection to the idle ones of its upstream after a complete response.
    ///
    /// `keep_alive` is the time for which the upstream keeps it open, if the response stated one.
    pub fn give_back(mut self, keep_alive: Option<Duration>) {
        let idle = keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_MARGIN);
        self.link.idle_until = Instant::now() + idle;
        self.link.is_reused = true;
        self.upstream.put_idle(self.link);
    }
}
