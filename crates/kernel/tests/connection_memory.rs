//! Memory of open connections, in a process of its own, since all of its memory is measured.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_kernel::http::{Server, full};
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Number of connections.
const CONNECTIONS: usize = 1_000;
/// Size of the handler's state, which a request needs and a connection doesn't, in bytes.
const STATE_BYTES: usize = 96 * 1024;
/// Memory that an idle connection may take, with the caller's end, in bytes.
const IDLE_BYTES: usize = 12 * 1024;
/// Size of a page of memory, in bytes.
const PAGE_BYTES: usize = 4_096;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// Starts a server whose handler keeps a large state over a wait.
fn start_server(server: Server) -> SocketAddr {
    let handle = server.serve(|_, _| async {
        let mut state = [0_u8; STATE_BYTES];
        state[0] = 1;
        sleep(Duration::from_millis(1)).await;
        Response::new(full(format!(
            "{}",
            state.iter().filter(|byte| **byte == 1).count()
        )))
    });
    handle.unwrap().address
}

async fn connect_all(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    // The server has accepted them by then.
    sleep(Duration::from_millis(500)).await;
    streams
}

/// Guards against connections that hold room for a request's whole state while they are idle: about a thousand ended a process of 120 MB, with the
/// requests on it (LOST).
#[tokio::test]
async fn idle_connections_hold_no_room_for_a_request() {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = start_server(server);
    let before = resident_bytes();
    let mut streams = connect_all(address).await;
    let unused = (resident_bytes() - before) / CONNECTIONS;
    for stream in &mut streams {
        stream.write_all(REQUEST).await.unwrap();
        let mut answer = [0; 256];
        assert!(stream.read(&mut answer).await.unwrap() > 0);
    }
    let kept = (resident_bytes() - before) / CONNECTIONS;
    assert!(
        unused <= IDLE_BYTES,
        "an unused connection takes {unused} bytes"
    );
    assert!(kept <= IDLE_BYTES, "a kept connection takes {kept} bytes");
}
