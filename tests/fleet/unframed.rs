//! A service whose answers end with their connection.

use std::net::SocketAddr;

use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use ferry_rig::{FleetRig, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::sample::{KEY, configuration, programs};

/// Answer that may be a part of a longer one.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf an ans";

async fn serve(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(ANSWER.as_bytes()).await;
        });
    }
}

/// Reads the bytes of an answer to a call of the service.
async fn read_answer(router: &str) -> String {
    let mut stream = TcpStream::connect(router).await.unwrap();
    let request = format!(
        "GET /services/letters/7 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer.to_ascii_lowercase()
}

/// Serves until the first answer; then the process ends, and its port with it, before the connections do.
async fn serve_and_end(listener: TcpListener) {
    let mut begun = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        if matches!(stream.read(&mut request).await, Ok(length) if length > 0) {
            let _ = stream.write_all(ANSWER.as_bytes()).await;
            begun.push(stream);
            break;
        }
    }
    drop(listener);
    drop(begun);
}

/// Starts a router before a service at `listener`.
async fn start_fleet(listener: &TcpListener) -> FleetRig {
    let address: SocketAddr = listener.local_addr().unwrap();
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    rig.list_host(&HostEntry {
        name: "service-1".into(),
        zone: "zone-a".into(),
        role: HostRole::Service,
        state: HostState::Live,
        address: address.to_string(),
        versions: Vec::new(),
        service: Some("letters".into()),
    })
    .await;
    rig.add_router().await.unwrap();
    rig.wait_until_ready(1).await;
    rig.publish_everywhere(configuration()).await;
    rig
}

#[tokio::test]
async fn a_service_answer_without_framing_is_not_framed_as_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let rig = start_fleet(&listener).await;
    tokio::spawn(serve(listener));
    let router = rig.callers(0);
    let answer = eventually("the service answers", || async {
        let answer = read_answer(&router).await;
        answer.contains("half an ans").then_some(answer)
    })
    .await;
    assert!(!answer.contains("content-length"), "{answer}");
    assert!(!answer.contains("chunked"), "{answer}");
}

/// Guards against an answer that ends with the process of its service and looks complete.
#[tokio::test]
async fn an_unframed_answer_of_a_service_that_ended_is_no_success() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let rig = start_fleet(&listener).await;
    let serving = tokio::spawn(serve_and_end(listener));
    let answer = read_answer(&rig.callers(0)).await;
    assert!(!answer.contains("half an ans"), "{answer}");
    assert!(answer.starts_with("http/1.1 502"), "{answer}");
    assert!(answer.contains(r#""run":"ran""#), "{answer}");
    serving.await.unwrap();
}
