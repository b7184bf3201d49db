//! Connections to upstreams.

use std::net::SocketAddr;
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

/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which bytes may stay unacknowledged before the connection counts as dead.
const UNACKED_LIMIT: Duration = Duration::from_millis(1_500);
/// Silence after which a connection is probed, and the pause between the probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which an upstream is taken to keep an idle connection if it does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Time by which an idle connection is given up before its upstream closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// An open connection that runs one request at a time.
#[derive(Debug)]
pub struct UpstreamLink {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Ends the task that drives the connection, and so the connection.
    driver: AbortHandle,
    /// Until when it can be used while idle.
    idle_until: Instant,
}

impl UpstreamLink {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when nothing listens at the address, or nothing answers in time.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        guard_against_silence(&stream)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
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
            idle_until: Instant::now(),
        })
    }

    /// Whether a request can be sent on it now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && Instant::now() < self.idle_until
    }
}

impl Drop for UpstreamLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection in use; it is closed with whatever runs on it unless it is given back.
#[derive(Debug)]
pub struct LinkLease {
    upstream: Arc<RelayUpstream>,
    link: UpstreamLink,
}

impl LinkLease {
    /// A connection that is about to carry a request to `upstream`.
    pub fn new(upstream: Arc<RelayUpstream>, link: UpstreamLink) -> Self {
        Self { upstream, link }
    }

    /// The connection.
    pub fn link(&mut self) -> &mut UpstreamLink {
        &mut self.link
    }

    /// Gives the connection back after a whole answer; the upstream keeps it for `keep_alive`.
    pub fn give_back(mut self, keep_alive: Option<Duration>) {
        let idle = keep_alive
            .unwrap_or(DEFAULT_IDLE)
            .saturating_sub(IDLE_MARGIN);
        self.link.idle_until = Instant::now() + idle;
        self.upstream.put_idle(self.link);
    }
}

/// Makes the kernel give up a connection whose other end no longer answers.
fn guard_against_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
