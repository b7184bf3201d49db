//! Connections of a relay, each copied in both directions.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::LinkOrder;

/// Bytes that are copied at once.
const CHUNK: usize = 64 * 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type OrderReceiver = watch::Receiver<LinkOrder>;

/// Passes connections on to `target` until `stop`.
pub(super) async fn accept_loop(
    listener: TcpListener,
    target: SocketAddr,
    order: Arc<watch::Sender<LinkOrder>>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((client, _)) => {
                let pipe = pass_on(client, target, order.subscribe());
                tokio::spawn(stop.clone().run_until_cancelled_owned(pipe));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Copies one connection until it ends or the link is cut.
async fn pass_on(client: TcpStream, target: SocketAddr, order: OrderReceiver) {
    let mut cuts = order.clone();
    tokio::select! {
        biased;
        _ = cuts.wait_for(|order| order.cut) => {}
        _ = copy_both(client, target, order) => {}
    }
}

async fn copy_both(client: TcpStream, target: SocketAddr, order: OrderReceiver) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let forth = copy_one(client_in, server_out, order.clone());
    let back = copy_one(server_in, client_out, order);
    tokio::try_join!(forth, back).map(drop)
}

async fn copy_one(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut order: OrderReceiver,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK];
    loop {
        let length = from.read(&mut chunk).await?;
        let delay = match order.wait_for(|order| !order.stalled).await {
            Ok(order) => Duration::from_millis(order.delay_ms),
            Err(_) => return Ok(()),
        };
        tokio::time::sleep(delay).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..length]).await?;
    }
}
