//! HTTP server with one task per connection and graceful shutdown.

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
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::arrival::ArrivalClock;
use super::caller_stream::{CallerStream, ConnectionEnd};
use super::framing::ends_with_connection;
use super::{HttpBody, KEEP_ALIVE};

/// Smallest buffer for a request head that `hyper` accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Delay before the next accept after a failed one, for example when no file descriptor is
/// available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after a stop in which the server still accepts connections and reads requests: those that had arrived when it was
/// asked to stop are answered.
const LAST_READ_TIME: Duration = Duration::from_millis(5);

/// Response extension that makes the server close the connection instead of responding.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the handler closed the connection; call again on a new one")]
struct ConnectionDrop;

/// A placeholder response: the server closes the connection instead of sending it.
pub fn dropped_connection() -> Response<HttpBody> {
    let mut response = Response::new(super::empty());
    response.extensions_mut().insert(ConnectionDrop);
    response
}

/// Limits on each connection of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest request head, in bytes; `hyper` accepts no limit below 8 KiB.
    pub head_bytes: usize,
    /// Time after which a connection without a complete request head is closed, idle connections
    /// included.
    pub head_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 * 1024,
            head_timeout: KEEP_ALIVE,
        }
    }
}

/// Limits that may change while a server runs; a change applies to connections accepted later.
#[derive(Debug, Clone, Default)]
pub struct LimitsCell(Arc<Mutex<ServerLimits>>);

impl LimitsCell {
    /// The current limits.
    pub fn get(&self) -> ServerLimits {
        *self.0.lock()
    }

    /// Replaces the limits.
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
    /// Address that the server listens on.
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
    /// Fails when the address is in use or does not belong to this host.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            limits: LimitsCell::default(),
        })
    }

    /// Sets the shared limits that each new connection reads.
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
    /// Stops accepting connections, lets open ones finish their requests, and waits until all are
    /// closed.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Waits until requests that had arrived when the server was asked to stop have been read.
    async fn last_read(&self) {
        self.stop.cancelled().await;
        sleep(LAST_READ_TIME).await;
    }

    /// Stops accepting connections and closes open ones at once, aborting in-flight requests.
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
    let last_read = handle.last_read();
    tokio::pin!(last_read);
    loop {
        let accepted = tokio::select! {
            biased;
            () = handle.abort.cancelled() => return,
            accepted = listener.accept() => accepted,
            () = last_read.as_mut() => return,
        };
        let Ok((stream, peer)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
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
    let arrival = ArrivalClock::default();
    let requests = arrival.clone();
    let end = ConnectionEnd::default();
    let answers_end = end.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(requests.of_request());
        let version = request.version();
        // Keeps the size of the handler's future out of the connection, which holds room for it while idle.
        let answer = Box::pin(handler(request, peer));
        let end = answers_end.clone();
        async move {
            let response = answer.await;
            if ends_with_connection(version, &response) {
                end.ends_answer();
            }
            response_or_drop(response)
        }
    });
    let limits = handle.limits.get();
    let caller = CallerStream::new(stream, end.clone(), arrival);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(caller), service)
        .with_upgrades();
    tokio::pin!(connection);
    tokio::select! {
        biased;
        result = connection.as_mut() => return reset_if_broken(&result, &end),
        () = handle.abort.cancelled() => return,
        () = handle.last_read() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        result = connection.as_mut() => reset_if_broken(&result, &end),
        () = handle.abort.cancelled() => {}
    }
}

/// Ends the connection with a reset if a body was broken off.
fn reset_if_broken(result: &hyper::Result<()>, end: &ConnectionEnd) {
    if result.as_ref().is_err_and(hyper::Error::is_user) {
        end.reset_on_drop();
    }
}

fn response_or_drop(response: Response<HttpBody>) -> Result<Response<HttpBody>, ConnectionDrop> {
    match response.extensions().get::<ConnectionDrop>() {
        Some(drop) => Err(*drop),
        None => Ok(response),
    }
}
