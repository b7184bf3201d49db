//! Copies one connection in both directions, and holds data back while the link is stalled.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// Buffer size per direction, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;
/// Size of the pieces in which a slow connection forwards data, in bytes.
const PIECE_BYTES: usize = 8 * 1024;

/// Copies between `client` and `target` until both directions are closed or one fails; copies nothing while one of `stalls` is true, and towards
/// the client no faster than `bytes_per_s` unless that is 0.
pub(super) async fn copy_both(
    mut client: TcpStream,
    target: SocketAddr,
    stalls: [watch::Receiver<bool>; 2],
    bytes_per_s: Arc<AtomicU64>,
) -> io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    // Owned halves would close the writing side when they are dropped, so that a reset came behind an orderly end.
    let (client_in, client_out) = client.split();
    let (server_in, server_out) = server.split();
    let to_server = copy_direction(client_in, server_out, stalls.clone(), Arc::default());
    let to_client = copy_direction(server_in, client_out, stalls, bytes_per_s);
    tokio::try_join!(to_server, to_client).map(drop)
}

async fn copy_direction(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut stalls: [watch::Receiver<bool>; 2],
    bytes_per_s: Arc<AtomicU64>,
) -> io::Result<()> {
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        for stalled in &mut stalls {
            if stalled.wait_for(|stalled| !stalled).await.is_err() {
                return Ok(());
            }
        }
        if length == 0 {
            return to.shutdown().await;
        }
        let speed = bytes_per_s.load(Ordering::Acquire);
        for piece in chunk[..length].chunks(PIECE_BYTES) {
            if speed > 0 {
                sleep(Duration::from_secs_f64(piece.len() as f64 / speed as f64)).await;
            }
            to.write_all(piece).await?;
        }
    }
}
