//! A TCP relay between two processes that can be cut, whole or for single sources, or stalled.

mod link_copy;

use std::collections::HashSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use link_copy::copy_both;

/// Relay in front of one port.
#[derive(Debug, Clone)]
pub struct LinkRelay {
    /// Address that stands for the port.
    pub address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
    /// Whether data is held back while connections stay open.
    stalled: Arc<watch::Sender<bool>>,
}

#[derive(Debug, Default)]
struct RelayState {
    target: Option<SocketAddr>,
    all_cut: bool,
    cut_sources: HashSet<IpAddr>,
    /// Open connections with their sources.
    open: Vec<(IpAddr, CancellationToken)>,
}

impl LinkRelay {
    /// Starts a relay on a free port of `ip`; its target is set later.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let relay = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            stalled: Arc::default(),
        };
        tokio::spawn(relay.clone().accept(listener));
        Ok(relay)
    }

    /// Passes connections on to `target` from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().target = Some(target);
    }

    /// Cuts all connections and refuses new ones.
    pub fn cut(&self) {
        let mut state = self.state.lock();
        state.all_cut = true;
        state.open.drain(..).for_each(|(_, token)| token.cancel());
    }

    /// Cuts the connections that come from `source`.
    pub fn cut_source(&self, source: IpAddr) {
        let mut state = self.state.lock();
        state.cut_sources.insert(source);
        let open = state.open.iter().filter(|(ip, _)| *ip == source);
        open.for_each(|(_, token)| token.cancel());
    }

    /// Keeps connections open but passes nothing on.
    pub fn stall(&self) {
        self.stalled.send_replace(true);
    }

    /// Lifts all cuts and the stall.
    pub fn heal(&self) {
        self.stalled.send_replace(false);
        let mut state = self.state.lock();
        state.all_cut = false;
        state.cut_sources.clear();
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, source)) = listener.accept().await {
            if let Some((target, token)) = self.admit(source.ip()) {
                let copying = copy_both(stream, target, self.stalled.subscribe());
                tokio::spawn(copy_until_cut(copying, token));
            }
        }
    }

    fn admit(&self, source: IpAddr) -> Option<(SocketAddr, CancellationToken)> {
        let mut state = self.state.lock();
        if state.all_cut || state.cut_sources.contains(&source) {
            return None;
        }
        let target = state.target?;
        let token = CancellationToken::new();
        state.open.retain(|(_, open)| !open.is_cancelled());
        state.open.push((source, token.clone()));
        Some((target, token))
    }
}

async fn copy_until_cut(copying: impl Future<Output = io::Result<()>>, token: CancellationToken) {
    let _finished = token.clone().drop_guard();
    let _ = token.run_until_cancelled(copying).await;
}
