//! All links of one router: accepts links, dials neighbours, and sends messages on open links.

mod link_acceptor;
mod link_dialer;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_kernel::http::PacedStream;
use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::{Mutex, RwLock};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::link_table::{LinkSide, LinkTable};
use super::on_demand_links::OnDemandLinks;
use super::peer_frame::{EncodedFrame, FRAME_LIMIT, PeerFrame};
use super::peer_link::{FrameQueue, PeerLink, ReplyTimes};
use super::{PeerError, PeerIdentity, PeerSettings, PeerTopic, decode, encode, peer_metrics};
use crate::ports::set_dead_peer_timeouts;

/// Timeout of connecting and the handshake together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a link that a query waits for.
const ON_DEMAND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of concurrent handshakes of accepted connections; further connections are dropped.
const MAX_CONCURRENT_HANDSHAKES: usize = 64;
/// Shortest delay before a neighbour is redialled.
const MIN_REDIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay before a neighbour is redialled.
const MAX_REDIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without a query after which an on-demand link, to a host that is not a neighbour, is closed.
const ON_DEMAND_LINK_IDLE_TIME: Duration = Duration::from_secs(10);
/// Path that a dialling router requests for a link.
const LINK_PATH: &str = "/peer";
/// Path that a dialling router requests for a stream.
const STREAM_PATH: &str = "/stream";
/// Size of each buffer of a connection, in bytes; a router that others sync from has one for each of them.
const BUFFER_BYTES: usize = 16 * 1024;
/// Longest time that a stop waits for the links to write their queued frames.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A message from another router.
#[derive(Debug, Clone)]
pub struct PeerMessage {
    /// Host at the other end of the link, as authenticated by the handshake.
    pub from: HostName,
    /// Topic of the message.
    pub topic: PeerTopic,
    /// Encoded content; read it with [`decode`].
    pub body: Bytes,
}

/// Handles received messages; its result is the reply to a query, and is ignored for a notice.
///
/// Notices of one link are handled one at a time in the order sent, queries concurrently.
pub type PeerHandler = Arc<dyn Fn(PeerMessage) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>;

/// Connection to another router, after the handshake.
pub type PeerSocket = WebSocketStream<PacedStream<TcpStream>>;

/// Serves one stream that another router opened, until it ends.
pub type StreamHandler =
    Arc<dyn Fn(PeerIdentity, PeerSocket) -> BoxFuture<'static, ()> + Send + Sync>;

/// The links of one router.
pub struct PeerHub {
    settings: PeerSettings,
    handler: PeerHandler,
    /// Absent while no streams are served.
    streams: OnceLock<StreamHandler>,
    address: SocketAddr,
    links: RwLock<LinkTable>,
    /// Neighbours that are dialled, and redialled until they are removed from the list.
    dialers: Mutex<HashMap<HostName, PeerDialer>>,
    /// Peer ports of hosts that are dialled only when a query is sent to them.
    directory: RwLock<HashMap<HostName, SocketAddr>>,
    on_demand: OnDemandLinks,
    /// Bytes of all frames that the links have sent.
    sent_bytes: Arc<AtomicU64>,
    stopping: CancellationToken,
    tasks: TaskTracker,
}

/// Address of a neighbour and the token that stops its dial task.
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
            streams: OnceLock::new(),
            address,
            links: RwLock::default(),
            dialers: Mutex::default(),
            directory: RwLock::default(),
            on_demand: OnDemandLinks::default(),
            sent_bytes: Arc::default(),
            stopping: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        hub.tasks.spawn(Arc::clone(&hub).accept_loop(listener));
        Ok(hub)
    }

    /// Serves the streams that other routers open with `handler`; only the first call has an effect.
    pub fn serve_streams(&self, handler: StreamHandler) {
        // Ignores a second call, as documented.
        let _ = self.streams.set(handler);
    }

    /// Opens a stream to `host`: a connection of its own, beside the links, whose messages the stream's handler defines.
    ///
    /// # Errors
    ///
    /// Fails when the host is not in the directory, cannot be reached, or does not prove that it knows the secret.
    pub async fn open_stream(&self, host: &HostName) -> Result<PeerSocket, PeerError> {
        let address = self.directory.read().get(host).copied();
        let address = address.ok_or_else(|| PeerError::NotConnected(host.clone()))?;
        let opening = self.dial(host, address, STREAM_PATH);
        let (socket, _) = timeout(HANDSHAKE_TIMEOUT, opening)
            .await
            .map_err(|_| handshake_timeout())??;
        set_dead_peer_timeouts(socket.get_ref().inner())
            .map_err(|error| PeerError::Transport(error.to_string()))?;
        Ok(socket)
    }

    /// Secret by which the routers of the fleet authenticate one another.
    pub fn secret(&self) -> &str {
        &self.settings.secret
    }

    /// Address of the peer port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Dials these hosts and redials them when a link ends; closes the links dialled to former
    /// neighbours.
    ///
    /// Must be called within the Tokio runtime. This host itself is skipped.
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

    /// Sets the peer ports of hosts that are dialled only when a query is sent to them.
    pub fn set_directory(&self, hosts: &[(HostName, SocketAddr)]) {
        *self.directory.write() = hosts.iter().cloned().collect();
    }

    /// Sends `body` to every neighbour with a link; a neighbour whose queue is full is skipped, and
    /// the refused frame is counted.
    pub fn broadcast(&self, topic: PeerTopic, body: &impl Serialize) {
        let frame = match notice(topic, body) {
            Ok(frame) => frame,
            Err(error) => {
                spdlog::error!("broadcast to the neighbours not sent: {}", error, kv: { topic = topic.as_str() });
                return;
            }
        };
        let dialers = self.dialers.lock();
        let links = self.links.read();
        for link in dialers.keys().filter_map(|host| links.get(host)) {
            let _ = link.send(frame.clone());
        }
    }

    /// Sends `body` to one host as a notice.
    ///
    /// # Errors
    ///
    /// Fails when no link is up, its queue is full, or the message cannot be encoded or is too large.
    pub fn notify(
        &self,
        to: &HostName,
        topic: PeerTopic,
        body: &impl Serialize,
    ) -> Result<(), PeerError> {
        let frame = notice(topic, body)?;
        self.link(to)?.send(frame)
    }

    /// Sends a query to one host and waits for its reply; dials the host first if it is not a
    /// neighbour, and again if the link to it has gone silent.
    ///
    /// # Errors
    ///
    /// [`PeerError::delivery`] says whether the host may have received the query.
    pub async fn send_query<Q: Serialize, R: DeserializeOwned>(
        self: &Arc<Self>,
        to: &HostName,
        topic: PeerTopic,
        query: &Q,
        times: impl Into<ReplyTimes>,
    ) -> Result<R, PeerError> {
        let body = encode(query)?;
        let link = self.link_on_demand(to).await?;
        let reply = link.send_query(topic, body, times.into()).await?;
        decode(&reply).map_err(|error| PeerError::BadAnswer {
            host: to.clone(),
            detail: error.to_string(),
        })
    }

    /// Bytes of all frames that the links have sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Hosts with a link, in order of their names.
    pub fn connected(&self) -> Vec<HostName> {
        self.links.read().hosts()
    }

    /// Closes the port and all links, once their queues are written or a time limit has passed.
    pub async fn stop(&self) {
        self.stopping.cancel();
        self.tasks.close();
        if timeout(STOP_TIMEOUT, self.tasks.wait()).await.is_err() {
            spdlog::warn!("some peer links did not close within the time limit of the stop");
        }
    }

    fn link(&self, host: &HostName) -> Result<Arc<PeerLink>, PeerError> {
        let links = self.links.read();
        let link = links.get(host).cloned();
        link.ok_or_else(|| PeerError::NotConnected(host.clone()))
    }

    /// The link to `host`; dials a host that is in the directory but not a neighbour. All queries that wait for a dial share its result, so that
    /// none of them waits for more than one that fails.
    async fn link_on_demand(self: &Arc<Self>, host: &HostName) -> Result<Arc<PeerLink>, PeerError> {
        let present = self.link(host);
        if present.as_ref().is_ok_and(|link| !link.is_silent()) {
            return present;
        }
        let address = self.directory.read().get(host).copied();
        let Some(address) = address.filter(|_| !self.dialers.lock().contains_key(host)) else {
            return present;
        };
        let hub = Arc::clone(self);
        let dialled = host.clone();
        let dial = async move {
            let opening = hub.dial_on_demand(&dialled, address);
            let stopped = || Err(PeerError::NotConnected(dialled.clone()));
            let result = hub.stopping.run_until_cancelled(opening).await;
            let result = result.unwrap_or_else(stopped).map_err(Arc::new);
            hub.on_demand.end_dial(&dialled, &result);
            result
        };
        let spawn = |dial| drop(self.tasks.spawn(dial));
        let link = match self.on_demand.join_dial(host, || dial.boxed(), spawn) {
            Ok(dial) => dial.await,
            Err(error) => Err(error),
        };
        link.map_err(|error| PeerError::Unreached {
            host: host.clone(),
            error,
        })
    }

    /// Opens a link to `host`, which is no neighbour, unless there is one that works by now.
    async fn dial_on_demand(
        self: &Arc<Self>,
        host: &HostName,
        address: SocketAddr,
    ) -> Result<Arc<PeerLink>, PeerError> {
        let present = self.link(host);
        if present.as_ref().is_ok_and(|link| !link.is_silent()) {
            return present;
        }
        let permit = self.on_demand.try_permit();
        let permit = permit.ok_or_else(|| PeerError::NotConnected(host.clone()))?;
        let (socket, peer) = timeout(ON_DEMAND_TIMEOUT, self.dial_link(host, address))
            .await
            .map_err(|_| PeerError::DialTimedOut)??;
        let closing = self.stopping.child_token();
        let (link, queue) = self.add_link(LinkSide::Dialled, peer, &socket, closing);
        let hub = Arc::clone(self);
        let running = Arc::clone(&link);
        self.tasks.spawn(async move {
            let run = hub.run_link(LinkSide::Dialled, &running, socket, queue);
            let result = running.close_when_idle(ON_DEMAND_LINK_IDLE_TIME, run).await;
            log_link_error(result, Some(&running.peer().host));
            drop(permit);
        });
        Ok(link)
    }

    /// Creates a link on `socket`, adds it to the table, and closes the link that it replaces.
    fn add_link(
        &self,
        side: LinkSide,
        peer: PeerIdentity,
        socket: &PeerSocket,
        closing: CancellationToken,
    ) -> (Arc<PeerLink>, FrameQueue) {
        let received = socket.get_ref().meter().clone();
        let (link, queue) = PeerLink::new(peer, closing, Arc::clone(&self.sent_bytes), received);
        if let Some(replaced) = self.links.write().insert(side, Arc::clone(&link)) {
            replaced.close();
        }
        (link, queue)
    }

    async fn run_link(
        &self,
        side: LinkSide,
        link: &Arc<PeerLink>,
        socket: PeerSocket,
        queue: FrameQueue,
    ) -> Result<(), PeerError> {
        let result = link.run(socket, queue, &self.handler).await;
        self.links.write().remove(side, link);
        result
    }
}

fn notice(topic: PeerTopic, body: &impl Serialize) -> Result<EncodedFrame, PeerError> {
    let body = encode(body)?;
    PeerFrame::Notice { topic, body }.to_wire()
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_LIMIT))
        .max_frame_size(Some(FRAME_LIMIT))
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
}

fn handshake_timeout() -> PeerError {
    PeerError::Handshake("it timed out".to_owned())
}

fn log_link_error(result: Result<(), PeerError>, host: Option<&HostName>) {
    let Err(error) = result else {
        return;
    };
    peer_metrics::count_link_error(&error);
    let host = host.map_or("unknown", HostName::as_str);
    spdlog::debug!("peer link ended with an error: {}", error, kv: { host = host });
}
