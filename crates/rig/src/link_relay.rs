//! A TCP relay between two processes that can be cut, whole or for single sources.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Relay in front of one port.
#[derive(Debug, Clone)]
pub struct LinkRelay {
    /// Address that stands for the port.
    pub address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
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

    /// Lifts all cuts.
    pub fn heal(&self) {
        let mut state = self.state.lock();
        state.all_cut = false;
        state.cut_sources.clear();
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, source)) = listener.accept().await {
            if let Some((target, token)) = self.admit(source.ip()) {
                tokio::spawn(relay(stream, target, token));
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

async fn relay(mut stream: TcpStream, target: SocketAddr, token: CancellationToken) {
    let _finished = token.clone().drop_guard();
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let copy = tokio::io::copy_bidirectional(&mut stream, &mut upstream);
    let _ = token.run_until_cancelled(copy).await;
}
