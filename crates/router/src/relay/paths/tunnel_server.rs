//! The far end of a tunnel: connects to the upstream and copies bytes for another router.

use std::io::ErrorKind;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

use super::open_link::connect_direct;
use super::path_message::{TunnelAnswer, TunnelQuery};
use super::path_query::find_upstream;
use super::tunnel_stream::{MAX_DATA_BYTES, RESET_CODE};
use crate::core::LifecyclePhase;
use crate::peer::{self, PeerIdentity, PeerSocket, StreamHandler};
use crate::relay::relay_core::{RelayCore, SharedCore};
use crate::relay::upstreams::RelayUpstream;

/// Maximum number of tunnels that other routers have open through this one.
const MAX_TUNNELS: usize = 256;
/// Timeout of the first message of a tunnel.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Period at which an idle tunnel checks whether it may be used on.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Content of the message that says that the tunnel must carry no further request; a router takes any text for it.
const STOP_NOTICE: &str = "stops";

/// Handler of the tunnels that other routers open to this one.
pub fn tunnel_handler(core: &SharedCore) -> StreamHandler {
    let weak = Arc::downgrade(core);
    Arc::new(move |peer, socket| {
        let core = weak.upgrade();
        Box::pin(async move {
            if let Some(core) = core {
                serve_tunnel(&core, &peer, socket).await;
            }
        })
    })
}

async fn serve_tunnel(core: &SharedCore, peer: &PeerIdentity, mut socket: PeerSocket) {
    let message = timeout(QUERY_TIMEOUT, socket.next()).await;
    let Ok(Some(Ok(Message::Binary(query)))) = message else {
        return;
    };
    let query: TunnelQuery = match peer::decode(&query) {
        Ok(query) => query,
        Err(error) => {
            spdlog::warn!("invalid query for a tunnel ignored: {}", error, kv: { router = peer.host.as_str() });
            return;
        }
    };
    let _work = core.work.token();
    let guard = core.paths.begin_tunnel(MAX_TUNNELS);
    let result = match guard {
        Some(_) if core.phase() == LifecyclePhase::Serving => connect(core, &query).await,
        _ => Err(TunnelAnswer::Refused),
    };
    let answer = result.as_ref().err().copied();
    let answer = answer.unwrap_or(TunnelAnswer::Opened);
    spdlog::info!("tunnel for another router", kv: {
        router = peer.host.as_str(),
        upstream = query.upstream.id.as_str(),
        answer:? = answer,
    });
    let Ok(bytes) = peer::encode(&answer) else {
        return;
    };
    if socket.send(Message::Binary(bytes)).await.is_err() {
        return;
    }
    if let Ok((upstream, stream)) = result {
        copy(core, socket, stream, &upstream).await;
    }
}

async fn connect(
    core: &SharedCore,
    query: &TunnelQuery,
) -> Result<(Arc<RelayUpstream>, TcpStream), TunnelAnswer> {
    let upstream = find_upstream(core, &query.upstream).ok_or(TunnelAnswer::Refused)?;
    if is_held(core, &upstream) {
        return Err(TunnelAnswer::Refused);
    }
    if upstream.is_path_lost() {
        return Err(TunnelAnswer::Lost);
    }
    let stream = connect_direct(core, &upstream).await;
    let stream = stream.map_err(|_| TunnelAnswer::Lost)?;
    Ok((upstream, stream))
}

/// Whether an upstream must get no requests now: it leaves, asked for a pause, or its zone is evacuated.
fn is_held(core: &RelayCore, upstream: &RelayUpstream) -> bool {
    upstream.is_leaving() || upstream.pause_left().is_some() || core.is_evacuated(upstream)
}

/// Whether a tunnel to `upstream` must carry no further request: this router stops, or knows that the upstream must get none.
fn must_end(core: &RelayCore, upstream: &RelayUpstream) -> bool {
    core.phase() != LifecyclePhase::Serving || is_held(core, upstream)
}

/// Copies until one end closes; the other end is closed then.
async fn copy(core: &SharedCore, socket: PeerSocket, stream: TcpStream, upstream: &RelayUpstream) {
    let (sink, messages) = socket.split();
    let (reader, writer) = stream.into_split();
    let write_error = OnceLock::new();
    tokio::select! {
        () = copy_to_router(core, reader, sink, upstream, &write_error) => {}
        () = copy_to_upstream(messages, writer, &write_error) => {}
    }
}

/// Forwards the upstream's bytes, and how its connection ends; tells the router before when the tunnel must carry no further request.
///
/// The system tells the end by an error only once. A write may have got it; the next read then ends like an orderly one.
async fn copy_to_router(
    core: &SharedCore,
    mut reader: OwnedReadHalf,
    mut sink: SplitSink<PeerSocket, Message>,
    upstream: &RelayUpstream,
    write_error: &OnceLock<ErrorKind>,
) {
    let mut chunk = vec![0; MAX_DATA_BYTES];
    let mut has_told_stop = false;
    loop {
        if !has_told_stop && must_end(core, upstream) {
            has_told_stop = true;
            if sink.send(Message::text(STOP_NOTICE)).await.is_err() {
                return;
            }
        }
        let read = timeout(STOP_CHECK_PERIOD, reader.read(&mut chunk)).await;
        let message = match read {
            Err(_) => continue,
            Ok(Ok(0)) => match write_error.get() {
                Some(error) => close_after(*error),
                None => close_message(CloseCode::Normal),
            },
            Ok(Ok(length)) => Message::Binary(Bytes::copy_from_slice(&chunk[..length])),
            Ok(Err(error)) => close_after(error.kind()),
        };
        let is_end = message.is_close();
        if sink.send(message).await.is_err() || is_end {
            return;
        }
    }
}

/// Forwards the router's bytes to the upstream until the router closes the tunnel.
async fn copy_to_upstream(
    mut messages: SplitStream<PeerSocket>,
    mut writer: OwnedWriteHalf,
    write_error: &OnceLock<ErrorKind>,
) {
    while let Some(Ok(message)) = messages.next().await {
        match message {
            Message::Binary(data) => {
                if let Err(error) = writer.write_all(&data).await {
                    // Only the first error is kept, and this is the first.
                    let _ = write_error.set(error.kind());
                    // The reading half forwards what the upstream sent before, and the end.
                    std::future::pending::<()>().await;
                }
            }
            Message::Close(_) => return,
            _ => {}
        }
    }
}

fn close_after(error: ErrorKind) -> Message {
    match error {
        // The path to the upstream was lost, which says nothing of the upstream.
        ErrorKind::TimedOut => close_message(CloseCode::Away),
        _ => close_message(RESET_CODE),
    }
}

fn close_message(code: CloseCode) -> Message {
    Message::Close(Some(CloseFrame {
        code,
        reason: "".into(),
    }))
}
