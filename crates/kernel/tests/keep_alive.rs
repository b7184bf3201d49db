//! An idle connection is given up by the client well before the server closes it.

use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::http::{HttpClient, HttpRequest, KEEP_ALIVE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Limit of a call; reached only when a test fails.
const LONG: Duration = Duration::from_secs(30);
/// Time before the end of the keep-alive at which the second call is sent.
const LEAD: Duration = Duration::from_millis(1);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers the first call of each connection; the second one meets a close on its way.
async fn serve_once_a_connection(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_one(stream));
    }
}

async fn answer_one(mut stream: TcpStream) {
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
    tokio::spawn(serve_once_a_connection(listener));
    let client = HttpClient::default();
    let call = || client.fetch(HttpRequest::get(&url), LONG);
    assert_eq!(call().await.unwrap(), Bytes::from_static(b"ok"));

    tokio::time::pause();
    tokio::time::advance(KEEP_ALIVE - LEAD).await;
    tokio::time::resume();

    assert_eq!(call().await.unwrap(), Bytes::from_static(b"ok"));
}
