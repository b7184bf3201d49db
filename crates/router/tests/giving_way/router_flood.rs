//! Another router that sends messages without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use ferry_decisions::names::{HostName, Incarnation, ZoneName};
use ferry_router::peer::{PeerHandler, PeerHub, PeerSettings};
use futures::{FutureExt, StreamExt};
use tokio::io::AsyncWriteExt;
use tokio::runtime::Builder;

/// An empty message with a mask of zeros, as a client sends it.
const SMALL_MESSAGE: [u8; 6] = [0x8a, 0x80, 0, 0, 0, 0];
/// Messages in one write.
const WRITE_COUNT: usize = 10_000;

/// Settings of the router on `host`.
fn settings(host: &str) -> PeerSettings {
    PeerSettings {
        listen: "127.0.0.1:0".parse().unwrap(),
        secret: "s".to_owned(),
        host: HostName::new(host),
        zone: ZoneName::new("zone-a"),
        incarnation: Incarnation::random(),
    }
}

fn silent_handler() -> PeerHandler {
    Arc::new(|_| async { None }.boxed())
}

/// Starts a router that reads the streams of others.
pub async fn reading_router() -> Arc<PeerHub> {
    let hub = PeerHub::start(settings("b"), silent_handler());
    let hub = hub.await.unwrap();
    hub.serve_streams(Arc::new(|_, mut socket| {
        async move { while let Some(Ok(_)) = socket.next().await {} }.boxed()
    }));
    hub
}

/// Starts another router, on a thread of its own, that opens a stream to the one at `address` and sends without end.
pub fn flood_router(address: SocketAddr) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(send_without_end(address));
    });
}

async fn send_without_end(address: SocketAddr) {
    let hub = PeerHub::start(settings("a"), silent_handler());
    let hub = hub.await.unwrap();
    let target = HostName::new("b");
    hub.set_directory(&[(target.clone(), address)]);
    let socket = hub.open_stream(&target).await.unwrap();
    let mut stream = socket.into_inner();
    let messages = SMALL_MESSAGE.repeat(WRITE_COUNT);
    while stream.write_all(&messages).await.is_ok() {}
}
