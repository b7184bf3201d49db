//! Listening ports of the daemons, and connections from a daemon's own address.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ferry_kernel::http::{HttpBody, LimitsCell, Server, ServerHandle};
use hyper::body::Incoming;
use hyper::{Request, Response};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

/// Time for which sent bytes or keep-alive probes may stay unacknowledged before the kernel closes the connection. On Linux it decides
/// for probes as well, whatever their number; a sound host may be silent for more than a second.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time after which the kernel sends a keep-alive probe, and the interval of further probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// A port cannot be bound or served.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error(
    "cannot bind the {port} port to {address}: {reason}; free the address or configure another one"
)]
pub struct PortError {
    /// Name of the port, such as `callers` or `admin`.
    port: &'static str,
    /// Address from the settings.
    address: SocketAddr,
    /// Error of the operating system.
    reason: std::io::Error,
}

/// A port that is bound and not yet served.
#[derive(Debug)]
pub struct BoundPort {
    port: &'static str,
    address: SocketAddr,
    server: Server,
}

impl BoundPort {
    /// Binds the port named `port` at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or does not belong to this host.
    pub async fn bind(port: &'static str, address: SocketAddr) -> Result<Self, PortError> {
        match Server::bind(address).await {
            Ok(server) => Ok(Self {
                port,
                address,
                server,
            }),
            Err(reason) => Err(PortError {
                port,
                address,
                reason,
            }),
        }
    }

    /// Sets the cell from which the limits of each connection are read.
    #[must_use]
    pub fn with_limits(mut self, limits: LimitsCell) -> Self {
        self.server = self.server.with_limits(limits);
        self
    }

    /// Serves every connection with `handler` until the handle is stopped.
    ///
    /// # Errors
    ///
    /// Fails when the operating system no longer reports an address for the socket.
    pub fn serve<H, F>(self, handler: H) -> Result<ServerHandle, PortError>
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<HttpBody>> + Send + 'static,
    {
        let Self {
            port,
            address,
            server,
        } = self;
        server.serve(handler).map_err(|reason| PortError {
            port,
            address,
            reason,
        })
    }
}

/// Connects to `address` from the local address `own`, so that the other end sees the address on the
/// host list.
///
/// # Errors
///
/// Fails when `own` does not belong to this host or the connection is refused.
pub async fn connect_from(own: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if own.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    socket.connect(address).await
}

/// Sets socket options that make the kernel close a connection whose other end no longer answers.
///
/// # Errors
///
/// Fails when the connection has just ended.
pub fn set_dead_peer_timeouts(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(3);
    socket.set_tcp_keepalive(&probes)
}
