//! All links of one router: listens, dials its neighbours, and sends on the links that are up.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use futures::future::BoxFuture;
use parking_lot::{Mutex, RwLock};
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::demand_links::DemandLinks;
use super::link_table::{LinkSide, LinkTable};
use super::peer_frame::{EncodedFrame, FRAME_LIMIT, PeerFrame};
use super::peer_handshake::{accept_handshake, dial_handshake};
use super::peer_link::{FrameQueue, PeerLink};
use super::{PeerError, PeerIdentity, PeerSettings, PeerTopic, decode, encode, peer_metrics};

/// Time that a connection and its handshake may take.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(3);
/// Most handshakes of accepted connections at once.
const HANDSHAKES_AT_ONCE: usize = 64;
/// First wait before a neighbour is dialled again.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest wait before a neighbour is dialled again.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Time after which a link to a host that is no neighbour is closed.
const DEMAND_LIFE: Duration = Duration::from_secs(600);
/// Time that a stop waits for the links to write what is queued.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// A message from another router.
#[derive(Debug, Clone)]
pub struct PeerMessage {
    /// Host that proved its name on the link.
    pub from: HostName,
    /// What it is about.
    pub topic: PeerTopic,
    /// Content, to be read with [`decode`].
    pub body: Bytes,
}

/// Takes messages; its result is the reply to a query and unused for a notice.
///
/// Notices of one link are handled one after the other in the order sent, queries side by side.
pub type PeerHandler = Arc<dyn Fn(PeerMessage) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>;

/// The links of one router.
pub struct PeerHub {
    settings: PeerSettings,
    handler: PeerHandler,
    address: SocketAddr,
    links: RwLock<LinkTable>,
    /// Neighbours that are dialled until they are dropped from the list.
    dialers: Mutex<HashMap<HostName, PeerDialer>>,
    /// Peer ports of hosts that are dialled only when they are asked something.
    directory: RwLock<HashMap<HostName, SocketAddr>>,
    demand: DemandLinks,
    stopping: CancellationToken,
    tasks: TaskTracker,
}

/// A neighbour being dialled.
struct PeerDialer {
    address: SocketAddr,
    stopping: CancellationToken,
}

impl PeerHub {
    /// Opens the peer port and starts to accept links.
    ///
    /// # Errors
    ///
    /// [`PeerError::Listen`] when the port cannot be opened.
    pub async fn start(
        settings: PeerSettings,
        handler: PeerHandler,
    ) -> Result<Arc<Self>, PeerError> {
        let listen_error = |source| PeerError::Listen {
            address: settings.listen,
            source,
        };
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let hub = Arc::new(Self {
            settings,
            handler,
            address,
            links: RwLock::default(),
            dialers: Mutex::default(),
            directory: RwLock::default(),
            demand: DemandLinks::default(),
            stopping: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        hub.tasks.spawn(Arc::clone(&hub).accept_loop(listener));
        Ok(hub)
    }

    /// Address of the peer port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Dials these hosts and keeps redialling them; drops the links dialled to others.
    ///
    /// Must be called within the runtime. This host itself is skipped.
    pub fn set_neighbours(self: &Arc<Self>, neighbours: &[(HostName, SocketAddr)]) {
        let mut dialers = self.dialers.lock();
        dialers.retain(|host, dialer| {
            let kept = neighbours
                .iter()
                .any(|(name, address)| name == host && *address == dialer.address);
            if !kept {
                dialer.stopping.cancel();
            }
            kept
        });
        for (host, address) in neighbours {
            if *host == self.settings.host || dialers.contains_key(host) {
                continue;
            }
            let dialer = PeerDialer {
                address: *address,
                stopping: self.stopping.child_token(),
            };
            let hub = Arc::clone(self);
            let stopping = dialer.stopping.clone();
            self.tasks
                .spawn(hub.dial_loop(host.clone(), *address, stopping));
            dialers.insert(host.clone(), dialer);
        }
    }

    /// Sets where hosts that are no neighbours are reached when they are asked something.
    pub fn set_directory(&self, hosts: &[(HostName, SocketAddr)]) {
        *self.directory.write() = hosts.iter().cloned().collect();
    }

    /// Sends `body` to every neighbour with a link; full queues are counted and skipped.
    pub fn broadcast(&self, topic: PeerTopic, body: &impl Serialize) {
        let frame = match notice(topic, body) {
            Ok(frame) => frame,
            Err(error) => {
                spdlog::error!("a broadcast was not sent: {}", error, kv: { topic = topic.as_str() });
                return;
            }
        };
        let dialers = self.dialers.lock();
        let links = self.links.read();
        for link in dialers.keys().filter_map(|host| links.get(host)) {
            let _ = link.send(frame.clone());
        }
    }

    /// Sends `body` to one host.
    ///
    /// # Errors
    ///
    /// Fails when no link is up, its queue is full, or the message is too large.
    pub fn notify(
        &self,
        to: &HostName,
        topic: PeerTopic,
        body: &impl Serialize,
    ) -> Result<(), PeerError> {
        let frame = notice(topic, body)?;
        self.link(to)?.send(frame)
    }

    /// Asks one host and waits for its answer; dials it first if it is no neighbour.
    ///
    /// # Errors
    ///
    /// [`PeerError::delivery`] says whether the host may have seen the query.
    pub async fn ask<Q: Serialize, R: DeserializeOwned>(
        self: &Arc<Self>,
        to: &HostName,
        topic: PeerTopic,
        query: &Q,
        timeout: Duration,
    ) -> Result<R, PeerError> {
        let body = encode(query)?;
        let link = self.link_on_demand(to).await?;
        let answer = link.ask(topic, body, timeout).await?;
        decode(&answer).map_err(|error| PeerError::BadAnswer {
            host: to.clone(),
            detail: error.to_string(),
        })
    }

    /// Hosts with a link, in order of their names.
    pub fn connected(&self) -> Vec<HostName> {
        self.links.read().hosts()
    }

    /// Closes the port and all links, after what is queued was written or a time limit passed.
    pub async fn stop(&self) {
        self.stopping.cancel();
        self.tasks.close();
        if timeout(STOP_LIMIT, self.tasks.wait()).await.is_err() {
            spdlog::warn!("some peer links did not close in time");
        }
    }

    fn link(&self, host: &HostName) -> Result<Arc<PeerLink>, PeerError> {
        let links = self.links.read();
        let link = links.get(host).cloned();
        link.ok_or_else(|| PeerError::NotConnected(host.clone()))
    }

    /// The link to `host`; dials a host that is no neighbour but in the directory.
    async fn link_on_demand(self: &Arc<Self>, host: &HostName) -> Result<Arc<PeerLink>, PeerError> {
        let missing = match self.link(host) {
            Ok(link) => return Ok(link),
            Err(error) => error,
        };
        let address = self.directory.read().get(host).copied();
        let Some(address) = address.filter(|_| !self.dialers.lock().contains_key(host)) else {
            return Err(missing);
        };
        let _turn = self.demand.turn(host).await;
        if let Ok(link) = self.link(host) {
            return Ok(link);
        }
        let place = self.demand.place().ok_or(missing)?;
        let (socket, peer) = timeout(HANDSHAKE_LIMIT, self.dial(host, address))
            .await
            .map_err(|_| handshake_timeout())??;
        let closing = self.stopping.child_token();
        let (link, queue) = self.add_link(LinkSide::Dialled, peer, closing);
        let hub = Arc::clone(self);
        let running = Arc::clone(&link);
        self.tasks.spawn(async move {
            let run = hub.run_link(LinkSide::Dialled, &running, socket, queue);
            let result = running.within(DEMAND_LIFE, run).await;
            report(result, Some(&running.peer().host));
            drop(place);
        });
        Ok(link)
    }

    async fn accept_loop(self: Arc<Self>, listener: TcpListener) {
        let places = Arc::new(Semaphore::new(HANDSHAKES_AT_ONCE));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stopping.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                sleep(ACCEPT_RETRY).await;
                continue;
            };
            let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                continue;
            };
            let hub = Arc::clone(&self);
            self.tasks.spawn(async move {
                let opened = tokio::select! {
                    opened = timeout(HANDSHAKE_LIMIT, hub.accept(stream)) => opened,
                    () = hub.stopping.cancelled() => return,
                };
                drop(place);
                let result = match opened {
                    Ok(Ok((socket, peer))) => {
                        let closing = hub.stopping.child_token();
                        let (link, queue) = hub.add_link(LinkSide::Accepted, peer, closing);
                        hub.run_link(LinkSide::Accepted, &link, socket, queue).await
                    }
                    Ok(Err(error)) => Err(error),
                    Err(_) => Err(handshake_timeout()),
                };
                report(result, None);
            });
        }
    }

    async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<(WebSocketStream<TcpStream>, PeerIdentity), PeerError> {
        let _ = stream.set_nodelay(true);
        let mut socket = accept_async_with_config(stream, Some(socket_config()))
            .await
            .map_err(|error| PeerError::Handshake(error.to_string()))?;
        let peer = accept_handshake(&mut socket, &self.settings).await?;
        Ok((socket, peer))
    }

    async fn dial_loop(
        self: Arc<Self>,
        host: HostName,
        address: SocketAddr,
        stopping: CancellationToken,
    ) {
        let mut backoff = BACKOFF_MIN;
        loop {
            let opened = tokio::select! {
                opened = timeout(HANDSHAKE_LIMIT, self.dial(&host, address)) => opened,
                () = stopping.cancelled() => return,
            };
            let result = match opened {
                Ok(Ok((socket, peer))) => {
                    backoff = BACKOFF_MIN;
                    let closing = stopping.child_token();
                    let (link, queue) = self.add_link(LinkSide::Dialled, peer, closing);
                    self.run_link(LinkSide::Dialled, &link, socket, queue).await
                }
                Ok(Err(error)) => Err(error),
                Err(_) => Err(handshake_timeout()),
            };
            report(result, Some(&host));
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::select! {
                () = sleep(backoff.mul_f64(jitter)) => {}
                () = stopping.cancelled() => return,
            }
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    async fn dial(
        &self,
        host: &HostName,
        address: SocketAddr,
    ) -> Result<(WebSocketStream<TcpStream>, PeerIdentity), PeerError> {
        let stream = connect_from(self.settings.listen.ip(), address)
            .await
            .map_err(|error| PeerError::Transport(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/peer");
        let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
            .await
            .map_err(|error| PeerError::Handshake(error.to_string()))?;
        let peer = dial_handshake(&mut socket, &self.settings, host).await?;
        Ok((socket, peer))
    }

    /// Makes a link and puts it into the table.
    fn add_link(
        &self,
        side: LinkSide,
        peer: PeerIdentity,
        closing: CancellationToken,
    ) -> (Arc<PeerLink>, FrameQueue) {
        let (link, queue) = PeerLink::new(peer, closing);
        if let Some(replaced) = self.links.write().insert(side, Arc::clone(&link)) {
            replaced.close();
        }
        (link, queue)
    }

    async fn run_link(
        &self,
        side: LinkSide,
        link: &Arc<PeerLink>,
        socket: WebSocketStream<TcpStream>,
        queue: FrameQueue,
    ) -> Result<(), PeerError> {
        let result = link.run(socket, queue, &self.handler).await;
        self.links.write().remove(side, link);
        result
    }
}

/// Connects to `address` from `own`, so that the other end sees the address that is listed.
async fn connect_from(own: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if own.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    socket.connect(address).await
}

fn notice(topic: PeerTopic, body: &impl Serialize) -> Result<EncodedFrame, PeerError> {
    let body = encode(body)?;
    PeerFrame::Notice { topic, body }.to_wire()
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_LIMIT))
        .max_frame_size(Some(FRAME_LIMIT))
}

fn handshake_timeout() -> PeerError {
    PeerError::Handshake("it took too long".to_owned())
}

fn report(result: Result<(), PeerError>, host: Option<&HostName>) {
    let Err(error) = result else {
        return;
    };
    peer_metrics::count_link_error(&error);
    let host = host.map_or("unknown", HostName::as_str);
    spdlog::debug!("a peer link ended: {}", error, kv: { host = host });
}
