//! HTTP server: one task a connection, graceful stop.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{HttpBody, KEEP_ALIVE};

/// Least buffer for a head that `hyper` takes, in bytes.
const LEAST_HEAD_BYTES: usize = 8 * 1024;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Marks a response in whose place the connection is closed.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the handler closed the connection; call again on a new one")]
struct ConnectionDrop;

/// A response in whose place the server closes the connection without an answer.
pub fn dropped_connection() -> Response<HttpBody> {
    let mut response = Response::new(super::empty());
    response.extensions_mut().insert(ConnectionDrop);
    response
}

/// Bounds on each connection of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest head of a request, in bytes; `hyper` takes no less than 8 KiB.
    pub head_bytes: usize,
    /// Time after which a connection without the head of a request is closed, idle ones included.
    pub head_wait: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 * 1024,
            head_wait: KEEP_ALIVE,
        }
    }
}

/// Bounds that may change while a server runs; they hold for connections that come later.
#[derive(Debug, Clone, Default)]
pub struct LimitsCell(Arc<Mutex<ServerLimits>>);

impl LimitsCell {
    /// The bounds in force.
    pub fn get(&self) -> ServerLimits {
        *self.0.lock()
    }

    /// Replaces the bounds.
    pub fn set(&self, limits: ServerLimits) {
        *self.0.lock() = limits;
    }
}

/// A listening socket that is not yet served.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: LimitsCell,
}

/// A running server.
#[derive(Debug, Clone)]
pub struct ServerHandle {
    /// Address that it listens on.
    pub address: SocketAddr,
    stop: CancellationToken,
    abort: CancellationToken,
    limits: LimitsCell,
    /// The accept loop and one task for each connection.
    tasks: TaskTracker,
}

impl Server {
    /// Binds `address`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not of this host.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            limits: LimitsCell::default(),
        })
    }

    /// Sets where the bounds on each connection are found.
    #[must_use]
    pub fn with_limits(mut self, limits: LimitsCell) -> Self {
        self.limits = limits;
        self
    }

    /// Address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Fails when the socket has no address any more.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves every connection with `handler` until the handle is stopped.
    ///
    /// # Errors
    ///
    /// Fails when the socket has no address any more.
    pub fn serve<H, F>(self, handler: H) -> std::io::Result<ServerHandle>
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<HttpBody>> + Send + 'static,
    {
        let handle = ServerHandle {
            address: self.address()?,
            stop: CancellationToken::new(),
            abort: CancellationToken::new(),
            limits: self.limits,
            tasks: TaskTracker::new(),
        };
        let accepting = accept_loop(self.listener, handle.clone(), handler);
        handle.tasks.spawn(accepting);
        Ok(handle)
    }
}

impl ServerHandle {
    /// Stops accepting, lets each connection finish its requests, and waits for them.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Stops accepting and closes each connection at once, whatever is in flight on it.
    pub async fn abort(&self) {
        self.abort.cancel();
        self.stop().await;
    }
}

async fn accept_loop<H, F>(listener: TcpListener, handle: ServerHandle, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = handle.stop.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = serve_connection(stream, peer, handler.clone(), handle.clone());
        handle.tasks.spawn(connection);
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: H,
    handle: ServerHandle,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request, peer);
        async move { sendable(answer.await) }
    });
    let limits = handle.limits.get();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_wait)
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = handle.abort.cancelled() => return,
        () = handle.stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = handle.abort.cancelled() => {}
    }
}

fn sendable(response: Response<HttpBody>) -> Result<Response<HttpBody>, ConnectionDrop> {
    match response.extensions().get::<ConnectionDrop>() {
        Some(drop) => Err(*drop),
        None => Ok(response),
    }
}
