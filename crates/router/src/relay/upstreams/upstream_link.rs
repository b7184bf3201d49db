//! Connections to upstreams.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use super::RelayUpstream;
use crate::ports::connect_from;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which the kernel sends a keep-alive probe, and the interval of further probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which an upstream is assumed to keep an idle connection open if its response does not
/// state it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long before the upstream's own idle timeout a connection is no longer used, so that no request is
/// sent while the upstream closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Maximum size of a response head, and of the data read ahead, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// An open HTTP/1.1 connection, which carries one request at a time.
#[derive(Debug)]
pub struct UpstreamLink {
    /// Handle for sending requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Aborts the task that drives the connection, which closes the connection.
    driver: AbortHandle,
    /// End of the time for which the connection can be used while idle.
    idle_until: Instant,
    /// When the connection was opened.
    opened_at: Instant,
}

impl UpstreamLink {
    /// Opens a connection from the local address `own`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or cannot be established within the timeout.
    pub async fn open(own: IpAddr, address: SocketAddr) -> std::io::Result<Self> {
        let opened_at = Instant::now();
        let stream = timeout(CONNECT_TIMEOUT, connect_from(own, address)).await??;
        set_dead_peer_timeouts(&stream)?;
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
            driver: driver.abort_handle(),
            idle_until: opened_at,
            opened_at,
        })
    }

    /// Whether the connection is open, not busy, and within its idle time.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && Instant::now() < self.idle_until
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

    /// The leased connection.
    pub fn link(&mut self) -> &mut UpstreamLink {
        &mut self.link
    }

    /// When the connection was opened.
    pub fn opened_at(&self) -> Instant {
        self.link.opened_at
    }

    /// Returns the connection to the idle ones of its upstream after a complete response.
    ///
    /// `keep_alive` is the time for which the upstream keeps it open, if the response stated one.
    pub fn give_back(mut self, keep_alive: Option<Duration>) {
        let idle = keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_MARGIN);
        self.link.idle_until = Instant::now() + idle;
        self.upstream.put_idle(self.link);
    }
}

/// Sets socket options that make the kernel close a connection whose other end no longer answers.
fn set_dead_peer_timeouts(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
