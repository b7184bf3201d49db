//! Bytes of a service in trouble that are no answer.

use std::sync::Arc;

use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use ferry_rig::{FleetRig, eventually};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::sample::{KEY, configuration, programs};

/// First lines and fields of heads that HTTP does not allow in a final answer.
const ODD_HEADS: [&[u8]; 12] = [
    b"HTTP/1.1 000 Odd\r\n",
    b"HTTP/1.1 099 Odd\r\n",
    b"HTTP/1.1 101 Odd\r\n",
    b"HTTP/1.1 600 Odd\r\n",
    b"HTTP/1.1 999 Odd\r\n",
    b"HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
    b"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
    b"HTTP/1.1 200 OK\r\nX\0Odd: 1\r\n",
    b"HTTP/1.1 200 OK\r\nX-Odd\r\n",
    b"HTTP/1.1 200 OK\r\n folded\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
];
/// Rest of each answer.
const REST: &[u8] = b"Content-Type: text/plain\r\nContent-Length: 10\r\n\r\nodd answer";
/// Answer of a sound service.
const SOUND_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n";

async fn serve(listener: TcpListener, head: Arc<Mutex<&'static [u8]>>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let head = Arc::clone(&head);
        tokio::spawn(async move {
            let mut request = [0; 4_096];
            while matches!(stream.read(&mut request).await, Ok(length) if length > 0) {
                let answer = [*head.lock(), REST].concat();
                if stream.write_all(&answer).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Reads the bytes of an answer to a call of the service, in lower case.
async fn read_answer(router: &str) -> String {
    let mut stream = TcpStream::connect(router).await.unwrap();
    let request = format!(
        "GET /services/letters/7 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).to_lowercase()
}

/// Guards against bytes that are no answer, as one for a caller.
#[tokio::test]
async fn what_is_no_answer_of_a_service_reaches_no_caller() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    rig.list_host(&HostEntry {
        name: "service-1".into(),
        zone: "zone-a".into(),
        role: HostRole::Service,
        state: HostState::Live,
        address: listener.local_addr().unwrap().to_string(),
        versions: Vec::new(),
        service: Some("letters".into()),
    })
    .await;
    rig.add_router().await.unwrap();
    rig.wait_until_ready(1).await;
    rig.publish_everywhere(configuration()).await;
    let head = Arc::new(Mutex::new(SOUND_HEAD));
    tokio::spawn(serve(listener, Arc::clone(&head)));
    let router = rig.callers(0);
    eventually("the service answers", || async {
        let answer = read_answer(&router).await;
        answer.contains("odd answer").then_some(())
    })
    .await;
    let mut passed = Vec::new();
    for odd in ODD_HEADS {
        *head.lock() = odd;
        let answer = read_answer(&router).await;
        let is_refusal = answer.starts_with("http/1.1 502") || answer.starts_with("http/1.1 503");
        if !is_refusal || answer.contains("odd") {
            passed.push(format!("{}: {answer}", odd.escape_ascii()));
        }
    }
    assert!(passed.is_empty(), "{passed:#?}");
}
