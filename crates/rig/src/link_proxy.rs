//! A TCP proxy between two processes that can cut or reset all connections, stall them, let them go silent, slow them, or cut those of one source: by closing
//! them, or by a partition that drops packets.

mod link_copy;
mod packet_filter;

use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use parking_lot::Mutex;
use socket2::{SockRef, Socket};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use link_copy::copy_both;
use packet_filter::drop_packets_from;

/// TCP proxy in front of one port.
#[derive(Debug, Clone)]
pub struct LinkProxy {
    /// Address that clients connect to instead of the target's.
    pub address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    listener: Arc<TcpListener>,
    /// True while connections stay open but no data is forwarded.
    stalled: Arc<watch::Sender<bool>>,
    /// Speed of each connection towards its source; 0 without a limit.
    bytes_per_s: Arc<AtomicU64>,
    /// Whether a connection that the target resets ends with a reset for its source too.
    passes_resets: Arc<AtomicBool>,
}

/// Which packets a partition from one source drops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionScope {
    /// All packets in both directions.
    All,
    /// Those from the source; what the target sends still arrives there.
    OneWay,
    /// Those that open connections; open connections live on.
    NewLinks,
}

#[derive(Debug, Default)]
struct LinkState {
    target: Option<SocketAddr>,
    all_cut: bool,
    cut_sources: HashSet<IpAddr>,
    partitioned: HashMap<IpAddr, PartitionScope>,
    /// Open connections.
    open: Vec<OpenLink>,
}

/// An open connection.
#[derive(Debug, Clone)]
struct OpenLink {
    source: IpAddr,
    /// Ends the connection when cancelled.
    token: CancellationToken,
    /// Whether the connection ends with a reset.
    resets: Arc<AtomicBool>,
    /// The source's side, for packet filters; held by the task that copies.
    socket: Weak<Socket>,
    /// True while no data is forwarded.
    stalled: Arc<watch::Sender<bool>>,
    /// Whether nothing is ever forwarded any more.
    is_silent: bool,
}

impl LinkProxy {
    /// Starts a proxy on a free port of `ip`; it closes every connection until a target is set.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = Arc::new(TcpListener::bind((ip, 0)).await?);
        let proxy = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            listener,
            stalled: Arc::default(),
            bytes_per_s: Arc::default(),
            passes_resets: Arc::default(),
        };
        tokio::spawn(proxy.clone().accept());
        Ok(proxy)
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().target = Some(target);
    }

    /// Closes all connections, and closes new ones as soon as they are accepted.
    pub fn cut(&self) {
        let mut state = self.state.lock();
        state.all_cut = true;
        state.open.drain(..).for_each(|link| link.token.cancel());
    }

    /// Resets all connections; new ones are forwarded.
    pub fn reset(&self) {
        let mut state = self.state.lock();
        state.open.drain(..).for_each(|link| {
            link.resets.store(true, Ordering::Release);
            link.token.cancel();
        });
    }

    /// Resets the connections from `source`; new ones are forwarded.
    pub fn reset_source(&self, source: IpAddr) {
        let state = self.state.lock();
        for link in state.open.iter().filter(|link| link.source == source) {
            link.resets.store(true, Ordering::Release);
            link.token.cancel();
        }
    }

    /// Closes connections from `source`, and closes new ones from it as soon as they are accepted.
    pub fn cut_source(&self, source: IpAddr) {
        let mut state = self.state.lock();
        state.cut_sources.insert(source);
        let open = state.open.iter().filter(|link| link.source == source);
        open.for_each(|link| link.token.cancel());
    }

    /// Drops the packets of connections from `source` that `scope` names, without closing any.
    ///
    /// # Errors
    ///
    /// Fails when the kernel refuses a socket filter.
    pub fn partition(&self, source: IpAddr, scope: PartitionScope) -> io::Result<()> {
        let mut state = self.state.lock();
        state.partitioned.insert(source, scope);
        self.apply_partitions(&mut state)
    }

    /// Number of open connections from `source`.
    pub fn open_from(&self, source: IpAddr) -> usize {
        let state = self.state.lock();
        let open = state.open.iter();
        open.filter(|link| link.source == source && !link.token.is_cancelled())
            .count()
    }

    /// Stops forwarding data while connections stay open and new ones are accepted.
    pub fn stall(&self) {
        self.stalled.send_replace(true);
    }

    /// Lets the connections that are open now go silent for good, without closing any; new ones work.
    pub fn silence(&self) {
        for link in &mut self.state.lock().open {
            link.is_silent = true;
            link.stalled.send_replace(true);
        }
    }

    /// Limits the speed of each connection from the target to its source, in bytes per second, from its next piece of data on.
    pub fn limit_speed(&self, bytes_per_s: u64) {
        self.bytes_per_s.store(bytes_per_s, Ordering::Release);
    }

    /// Passes on resets of the target from now on; they end connections like a close otherwise.
    pub fn pass_resets(&self) {
        self.passes_resets.store(true, Ordering::Release);
    }

    /// Ends all cuts and the stall; data held back by the stall is forwarded. Silent connections stay silent.
    pub fn heal(&self) {
        self.stalled.send_replace(false);
        let mut state = self.state.lock();
        state.all_cut = false;
        state.cut_sources.clear();
        state.partitioned.clear();
        // Removes filters only, which cannot fail for open sockets.
        let _ = self.apply_partitions(&mut state);
    }

    fn apply_partitions(&self, state: &mut LinkState) -> io::Result<()> {
        let partitioned = &state.partitioned;
        drop_packets_from(&SockRef::from(&*self.listener), partitioned.keys())?;
        state.open.retain(|open| !open.token.is_cancelled());
        for link in &state.open {
            let scope = partitioned.get(&link.source);
            let drops = scope.is_some_and(|scope| *scope != PartitionScope::NewLinks);
            let sources = drops.then_some(&link.source).into_iter();
            if let Some(socket) = link.socket.upgrade() {
                drop_packets_from(&SockRef::from(&*socket), sources)?;
            }
            let is_stalled = link.is_silent || scope == Some(&PartitionScope::All);
            link.stalled.send_replace(is_stalled);
        }
        Ok(())
    }

    async fn accept(self) {
        while let Ok((stream, source)) = self.listener.accept().await {
            let Ok(socket) = SockRef::from(&stream).try_clone() else {
                continue;
            };
            let socket = Arc::new(socket);
            let Some((target, link)) = self.admit(source.ip(), &socket) else {
                continue;
            };
            let stalls = [self.stalled.subscribe(), link.stalled.subscribe()];
            let copying = copy_both(stream, target, stalls, Arc::clone(&self.bytes_per_s));
            let passes_resets = Arc::clone(&self.passes_resets);
            tokio::spawn(copy_until_cut(copying, link, socket, passes_resets));
        }
    }

    fn admit(&self, source: IpAddr, socket: &Arc<Socket>) -> Option<(SocketAddr, OpenLink)> {
        let mut state = self.state.lock();
        if state.all_cut || state.cut_sources.contains(&source) {
            return None;
        }
        let target = state.target?;
        let link = OpenLink {
            source,
            token: CancellationToken::new(),
            resets: Arc::default(),
            socket: Arc::downgrade(socket),
            stalled: Arc::default(),
            is_silent: false,
        };
        state.open.retain(|open| !open.token.is_cancelled());
        state.open.push(link.clone());
        Some((target, link))
    }
}

/// Copies until the link ends; `socket` is its source's side, which outlives the copying.
async fn copy_until_cut(
    copying: impl Future<Output = io::Result<()>>,
    link: OpenLink,
    socket: Arc<Socket>,
    passes_resets: Arc<AtomicBool>,
) {
    let _finished = link.token.clone().drop_guard();
    let copied = link.token.run_until_cancelled(copying).await;
    let was_reset = copied.is_some_and(|copied| copied.is_err_and(|error| is_reset(&error)));
    let passes_reset = was_reset && passes_resets.load(Ordering::Acquire);
    if passes_reset || link.resets.load(Ordering::Acquire) {
        let _ = socket.set_linger(Some(Duration::ZERO));
    }
}

/// Whether the connection ended with a reset; a write after one fails as on a broken pipe.
fn is_reset(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
    )
}
