//! The client must close an idle connection well before the server does. Otherwise a call just
//! before the server's keep-alive ends is sent on a connection that the server is closing, and
//! fails.

use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::http::{HttpClient, HttpRequest, KEEP_ALIVE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout of a call; reached only when a test fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// How long before the end of the keep-alive the second call is sent.
const LEAD: Duration = Duration::from_millis(1);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers the first call of each connection and closes the connection on the second one.
async fn serve_one_call_per_connection(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_first_call(stream));
    }
}

async fn answer_first_call(mut stream: TcpStream) {
    read_head(&mut stream).await;
    stream.write_all(ANSWER).await.unwrap();
    read_head(&mut stream).await;
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
}

#[tokio::test]
async fn a_call_near_the_end_of_the_keep_alive_uses_a_new_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    tokio::spawn(serve_one_call_per_connection(listener));
    let client = HttpClient::default();
    let call = || client.fetch(HttpRequest::get(&url), CALL_TIMEOUT);
    assert_eq!(call().await.unwrap(), Bytes::from_static(b"ok"));

    tokio::time::pause();
    tokio::time::advance(KEEP_ALIVE - LEAD).await;
    tokio::time::resume();

    assert_eq!(call().await.unwrap(), Bytes::from_static(b"ok"));
}
