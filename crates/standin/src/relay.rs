//! Stand-in of a network link: passes TCP connections on, and cuts, stalls or delays them by order.
//!
//! On its control port, `PUT /standin/link` with a [`LinkOrder`] replaces the order in force,
//! `DELETE` restores the link, `GET` shows the order.

mod link_pipe;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use ferry_decisions::value_type;
use ferry_kernel::http::{HttpBody, Server, ServerHandle, json_response};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::reply;
use link_pipe::accept_loop;

/// Path of the orders.
const LINK_PATH: &str = "/standin/link";
/// Largest order, in bytes.
const ORDER_LIMIT: usize = 64 * 1024;

value_type! {
    /// State of a link; the default is a link that works.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct LinkOrder {
        /// Closes all connections and every new one.
        pub cut: bool,
        /// Keeps connections open but passes nothing on.
        pub stalled: bool,
        /// Time by which data is delayed in each direction, in milliseconds.
        pub delay_ms: u64,
    }
}

/// Set-up of a relay.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to which connections are passed on.
    pub to: SocketAddr,
}

impl RelayOptions {
    /// A relay on any free port of the loopback address.
    pub fn to(address: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            to: address,
        }
    }
}

/// A running relay; clones are the same one.
#[derive(Debug, Clone)]
pub struct RelayStandin {
    address: SocketAddr,
    control: ServerHandle,
    order: Arc<watch::Sender<LinkOrder>>,
    stop: CancellationToken,
}

impl RelayStandin {
    /// Starts a relay.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(options: RelayOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let order = Arc::new(watch::Sender::new(LinkOrder::default()));
        let stop = CancellationToken::new();
        let relay = Self {
            address: listener.local_addr()?,
            control: serve_control(options.listen, order.clone()).await?,
            order,
            stop,
        };
        let accepting = accept_loop(
            listener,
            options.to,
            relay.order.clone(),
            relay.stop.clone(),
        );
        tokio::spawn(accepting);
        Ok(relay)
    }

    /// Address that takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address
    }

    /// Replaces the order in force.
    pub fn set_link(&self, order: LinkOrder) {
        self.order.send_replace(order);
    }

    /// Closes everything.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.control.abort().await;
    }
}

async fn serve_control(
    listen: SocketAddr,
    order: Arc<watch::Sender<LinkOrder>>,
) -> io::Result<ServerHandle> {
    let address = SocketAddr::new(listen.ip(), 0);
    Server::bind(address).await?.serve(move |request, _| {
        let order = order.clone();
        async move { answer_control(request, &order).await }
    })
}

async fn answer_control(
    request: Request<Incoming>,
    order: &watch::Sender<LinkOrder>,
) -> Response<HttpBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, LINK_PATH) => {}
        (&Method::DELETE, LINK_PATH) => drop(order.send_replace(LinkOrder::default())),
        (&Method::PUT, LINK_PATH) => {
            match reply::read_json(request.into_body(), ORDER_LIMIT).await {
                Ok(link) => drop(order.send_replace(link)),
                Err(refusal) => return *refusal,
            }
        }
        _ => {
            let message = "there is no such call; orders go to /standin/link";
            return reply::error(StatusCode::NOT_FOUND, message);
        }
    }
    json_response(StatusCode::OK, &*order.borrow())
}
