//! Opens connections to upstreams, directly or through another router.

use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::HostName;
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message;

use super::path_manager::log_path;
use super::path_message::{TunnelAnswer, TunnelQuery};
use super::tunnel_stream::TunnelStream;
use crate::peer::{self, PeerError};
use crate::ports::{connect_from, set_dead_peer_timeouts};
use crate::relay::RelayCore;
use crate::relay::upstreams::{LinkLease, RelayUpstream, UpstreamLink};

/// Timeout for opening a direct connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for opening a tunnel, in which the other router connects to the upstream.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a request whose path was just lost waits for a router that reaches its upstream.
pub const DETOUR_WAIT: Duration = Duration::from_millis(150);

/// Opens a connection to `upstream`: through another router if the direct path is lost, and one that `may_pass` accepts is known to reach it.
///
/// # Errors
///
/// Fails when the upstream is not reached within the timeout.
pub async fn open_link(
    core: &RelayCore,
    upstream: &Arc<RelayUpstream>,
    may_pass: &(dyn Fn(&HostName) -> bool + Sync),
) -> io::Result<UpstreamLink> {
    let detour = upstream.detour().filter(may_pass);
    let was_lost = detour.is_none() && upstream.is_path_lost();
    let result = match &detour {
        Some(router) => open_tunnel(core, upstream, router).await,
        None => open_direct(core, upstream).await,
    };
    let error = match result {
        Ok(link) => return Ok(link),
        Err(error) => error,
    };
    upstream.want_path();
    core.paths.report_loss();
    if was_lost || core.fleet.router_count() < 2 {
        return Err(error);
    }
    match wait_for_detour(core, upstream).await {
        Some(router) if may_pass(&router) => open_tunnel(core, upstream, &router).await,
        _ => Err(error),
    }
}

/// Waits for a router that reaches `upstream`: until a search that was begun after now has ended, or for [`DETOUR_WAIT`].
async fn wait_for_detour(core: &RelayCore, upstream: &RelayUpstream) -> Option<HostName> {
    let until = Instant::now() + DETOUR_WAIT;
    // The first one to end may have begun before.
    for _ in 0..2 {
        let left = until.saturating_duration_since(Instant::now());
        core.paths.wait_for_search(left).await;
        let detour = upstream.detour();
        if detour.is_some() {
            return detour;
        }
    }
    None
}

/// Opens a direct connection to `upstream`, and records whether that worked.
///
/// # Errors
///
/// As [`connect_direct`].
pub async fn open_direct(core: &RelayCore, upstream: &RelayUpstream) -> io::Result<UpstreamLink> {
    let opened_at = Instant::now();
    let stream = connect_direct(core, upstream).await?;
    UpstreamLink::over(stream, opened_at, None).await
}

/// Opens a direct connection to `upstream`; a failure is not recorded.
///
/// # Errors
///
/// As [`connect_direct`].
pub async fn open_unrecorded(
    core: &RelayCore,
    upstream: &RelayUpstream,
) -> io::Result<UpstreamLink> {
    let opened_at = Instant::now();
    let stream = connect(core, upstream).await?;
    record_success(core, upstream);
    UpstreamLink::over(stream, opened_at, None).await
}

/// Connects to `upstream` directly, and records whether that worked.
///
/// # Errors
///
/// Fails when the connection is refused or cannot be established within the timeout.
pub async fn connect_direct(core: &RelayCore, upstream: &RelayUpstream) -> io::Result<TcpStream> {
    let stream = connect(core, upstream).await;
    match &stream {
        Ok(_) => record_success(core, upstream),
        Err(error) => {
            if !upstream.is_path_lost() {
                spdlog::info!("cannot connect to an upstream", kv: { upstream = upstream.id(), error:? = error.kind() });
            }
            record_failure(core, upstream);
        }
    }
    stream
}

async fn connect(core: &RelayCore, upstream: &RelayUpstream) -> io::Result<TcpStream> {
    let own = core.settings.load().callers.ip();
    let connecting = connect_from(own, upstream.record.address);
    let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(ErrorKind::TimedOut.into()),
    };
    set_dead_peer_timeouts(&stream)?;
    Ok(stream)
}

/// Records that an open connection to `upstream` was lost with its path, or with the router `detour` through which it went.
pub fn record_lost_path(core: &RelayCore, upstream: &RelayUpstream, detour: Option<&HostName>) {
    match detour {
        Some(router) => {
            core.paths.record_tunnel(router, false);
            upstream.drop_detour(router);
        }
        None => record_failure(core, upstream),
    }
    upstream.want_path();
    core.paths.report_loss();
}

/// Connects to `upstream` directly, and keeps the connection for the next request; returns whether that worked.
pub async fn probe(core: &RelayCore, upstream: &Arc<RelayUpstream>) -> bool {
    match open_direct(core, upstream).await {
        Ok(link) => {
            LinkLease::new(Arc::clone(upstream), link).give_back(None);
            true
        }
        Err(_) => false,
    }
}

/// Records that `upstream` was heard over the direct path.
pub fn record_success(core: &RelayCore, upstream: &RelayUpstream) {
    if upstream.record_path_success(core.clock.now()) {
        log_path(&upstream.record.service, upstream.id(), "restored");
    }
}

fn record_failure(core: &RelayCore, upstream: &RelayUpstream) {
    if upstream.record_path_failure(core.clock.now()) {
        log_path(&upstream.record.service, upstream.id(), "lost");
        core.paths.wake_probes();
    }
}

async fn open_tunnel(
    core: &RelayCore,
    upstream: &Arc<RelayUpstream>,
    router: &HostName,
) -> io::Result<UpstreamLink> {
    let opened_at = Instant::now();
    let result = timeout(TUNNEL_TIMEOUT, dial_tunnel(core, upstream, router)).await;
    let result = result.unwrap_or_else(|_| Err(PeerError::TimedOut(router.clone())));
    core.paths.record_tunnel(router, result.is_ok());
    match result {
        Ok(stream) => {
            let state = Arc::clone(stream.state());
            UpstreamLink::over(stream, opened_at, Some((router.clone(), state))).await
        }
        Err(error) => {
            spdlog::info!("no tunnel through another router: {}", error, kv: {
                router = router.as_str(),
                upstream = upstream.id(),
            });
            upstream.drop_detour(router);
            Err(io::Error::new(ErrorKind::HostUnreachable, error))
        }
    }
}

async fn dial_tunnel(
    core: &RelayCore,
    upstream: &RelayUpstream,
    router: &HostName,
) -> Result<TunnelStream, PeerError> {
    let hub = core
        .fleet
        .hub()
        .ok_or_else(|| PeerError::NotConnected(router.clone()))?;
    let mut socket = hub.open_stream(router).await?;
    let query = TunnelQuery {
        upstream: upstream.record.incarnation.clone(),
    };
    let sent = socket.send(Message::Binary(peer::encode(&query)?)).await;
    sent.map_err(|error| PeerError::Transport(error.to_string()))?;
    let answer = match socket.next().await {
        Some(Ok(Message::Binary(answer))) => peer::decode(&answer)?,
        _ => return Err(PeerError::LinkLost(router.clone())),
    };
    match answer {
        TunnelAnswer::Opened => Ok(TunnelStream::new(socket)),
        TunnelAnswer::Lost | TunnelAnswer::Refused => Err(PeerError::Unanswered(router.clone())),
    }
}
