//! HTTP server of a stand-in, with a main port subject to faults and a control port without faults.

mod listed_server;
mod standin_api;

pub(crate) use listed_server::ListedServer;
pub(crate) use standin_api::StandinApi;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_kernel::http::{HttpBody, Server, ServerHandle, dropped_connection, json_response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use tokio::net::TcpSocket;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::faults::{CrashOrder, FaultGate, FaultOrder, OutageAnswer};
use crate::reply;

/// Prefix of the paths that control a stand-in.
const CONTROL_PREFIX: &str = "/standin/";
/// Maximum size of a fault order, in bytes.
const ORDER_LIMIT: usize = 64 * 1024;
/// Time for which a stopping stand-in waits for requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between attempts to bind the port again after a crash.
const REBIND_PAUSE: Duration = Duration::from_millis(20);
/// Exit code of a process that exits because of a crash order.
const CRASH_EXIT_CODE: i32 = 134;

/// Effect of a crash on the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CrashMode {
    /// The process keeps running, and the stand-in refuses connections until its restart.
    #[default]
    Simulate,
    /// The process exits, unless the crash order sets `simulate`.
    Exit,
}

/// Server of a running stand-in; clones share the same server.
#[derive(Debug, Clone)]
pub struct StandinServer {
    inner: Arc<ServerInner>,
}

#[derive(Debug)]
struct ServerInner {
    address: SocketAddr,
    /// Keeps the main port from other sockets while the stand-in is crashed.
    _reservation: TcpSocket,
    control: ServerHandle,
    /// Server of the main port; absent while the stand-in is crashed or stopped.
    main: Mutex<Option<ServerHandle>>,
    context: ServerContext,
    stop: CancellationToken,
}

#[derive(Debug, Clone)]
struct ServerContext {
    api: StandinApi,
    gate: Arc<FaultGate>,
    restarts: mpsc::Sender<RestartOrder>,
}

/// Command to a crashed stand-in to serve again.
#[derive(Debug)]
struct RestartOrder;

/// Binds a socket to `address`, or to a free port if its port is 0, without listening; one that listens may be bound beside it.
fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl StandinServer {
    /// Serves `api` at `address`, with the control port on a free port of the same IP address.
    pub(crate) async fn start(
        address: SocketAddr,
        api: StandinApi,
        gate: Arc<FaultGate>,
        crashes: mpsc::Receiver<CrashOrder>,
        crash_mode: CrashMode,
    ) -> io::Result<Self> {
        let (restarts, restart_orders) = mpsc::channel(1);
        let context = ServerContext {
            api,
            gate,
            restarts,
        };
        let control = context.clone().serve_control(address).await?;
        let reservation = reserve(address)?;
        let main = context
            .clone()
            .serve_main(reservation.local_addr()?)
            .await?;
        let inner = ServerInner {
            address: main.address,
            _reservation: reservation,
            control,
            main: Mutex::new(Some(main)),
            context,
            stop: CancellationToken::new(),
        };
        let server = Self {
            inner: Arc::new(inner),
        };
        let supervision = server
            .clone()
            .supervise(crashes, restart_orders, crash_mode);
        let stop = server.inner.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(supervision));
        Ok(server)
    }

    /// Address of the main port.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.inner.control.address
    }

    /// Base URL of the main port, `http://IP:PORT`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces all active faults by `order`; an order without faults clears them.
    pub fn set_faults(&self, order: FaultOrder) {
        self.inner.context.gate.set(order);
    }

    /// Breaks all connections and refuses new ones until [`StandinServer::restart`].
    pub async fn crash(&self) {
        let main = self.inner.main.lock().take();
        if let Some(main) = main {
            self.inner.context.api.crash();
            main.abort().await;
        }
    }

    /// Serves again after a crash, retrying until the port can be bound; does nothing otherwise.
    pub async fn restart(&self) {
        if self.inner.main.lock().is_some() {
            return;
        }
        loop {
            match self.inner.context.clone().serve_main(self.address()).await {
                Ok(main) => {
                    *self.inner.main.lock() = Some(main);
                    return;
                }
                Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
            }
        }
    }

    /// Clears all faults, accepts no new requests and waits a limited time for those in flight.
    pub async fn stop(&self) {
        self.inner.stop.cancel();
        self.inner.context.api.leave();
        self.set_faults(FaultOrder::default());
        let main = self.inner.main.lock().take();
        if let Some(main) = main
            && tokio::time::timeout(STOP_TIMEOUT, main.stop())
                .await
                .is_err()
        {
            main.abort().await;
        }
        self.inner.context.api.stop();
        self.inner.control.abort().await;
    }

    /// Breaks all connections and leaves new ones unanswered for `duration`.
    async fn hang(&self, duration: Duration) {
        if duration.is_zero() {
            return;
        }
        self.crash().await;
        match Server::bind(self.address()).await {
            Ok(_unserved) => tokio::time::sleep(duration).await,
            Err(problem) => spdlog::warn!(
                "cannot bind the port to leave connections unanswered: {}; crashing at once",
                problem
            ),
        }
    }

    /// Carries out reported crashes, and the restarts that follow them.
    async fn supervise(
        self,
        mut crashes: mpsc::Receiver<CrashOrder>,
        mut restarts: mpsc::Receiver<RestartOrder>,
        mode: CrashMode,
    ) {
        while let Some(crash) = crashes.recv().await {
            self.hang(Duration::from_millis(crash.hang_ms)).await;
            if mode == CrashMode::Exit && !crash.simulate {
                std::process::exit(CRASH_EXIT_CODE);
            }
            self.crash().await;
            match crash.restart_ms {
                Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                None => {
                    restarts.recv().await;
                }
            }
            self.restart().await;
        }
    }
}

impl ServerContext {
    async fn serve_main(self, address: SocketAddr) -> io::Result<ServerHandle> {
        Server::bind(address).await?.serve(move |request, _| {
            let context = self.clone();
            async move { context.answer(request).await }
        })
    }

    async fn serve_control(self, address: SocketAddr) -> io::Result<ServerHandle> {
        let address = SocketAddr::new(address.ip(), 0);
        Server::bind(address).await?.serve(move |request, _| {
            let context = self.clone();
            async move { context.answer_control(request).await }
        })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        if request.uri().path().starts_with(CONTROL_PREFIX) {
            return self.answer_control(request).await;
        }
        let uri = request.uri();
        let path = uri
            .path_and_query()
            .map_or(uri.path(), |path| path.as_str());
        let path = path.to_owned();
        self.gate.wait_while_frozen().await;
        match self.gate.outage(&path) {
            Some(OutageAnswer::Drop) => return dropped_connection(),
            Some(OutageAnswer::Unavailable) => {
                let message = "the service is out; call again later";
                return reply::error(StatusCode::SERVICE_UNAVAILABLE, message);
            }
            None => {}
        }
        tokio::time::sleep(self.gate.added_delay(&path)).await;
        let lost = self.gate.take_loss(request.method(), &path);
        let response = self.api.answer(request).await;
        self.gate.wait_while_frozen().await;
        if lost {
            drain(response).await;
            return dropped_connection();
        }
        response
    }

    async fn answer_control(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match (request.method(), request.uri().path()) {
            (&Method::PUT, "/standin/faults") => self.order_faults(request).await,
            (&Method::DELETE, "/standin/faults") => {
                self.gate.set(FaultOrder::default());
                json_response(StatusCode::OK, &*self.gate.order())
            }
            (&Method::GET, "/standin/faults") => json_response(StatusCode::OK, &*self.gate.order()),
            (&Method::POST, "/standin/restart") => {
                // A full queue means that a restart is already pending.
                let _ = self.restarts.try_send(RestartOrder);
                json_response(StatusCode::ACCEPTED, &())
            }
            _ => self.api.answer_control(request).await,
        }
    }

    async fn order_faults(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let order: FaultOrder = match reply::read_json(request.into_body(), ORDER_LIMIT).await {
            Ok(order) => order,
            Err(refusal) => return *refusal,
        };
        if let Err(problem) = order.check(self.api.kind()) {
            return reply::error(StatusCode::BAD_REQUEST, &problem.to_string());
        }
        self.gate.set(order);
        json_response(StatusCode::OK, &*self.gate.order())
    }
}

/// Reads a response body to its end, so that the call takes full effect.
async fn drain(response: Response<HttpBody>) {
    let mut body = response.into_body();
    while let Some(Ok(_)) = body.frame().await {}
}
