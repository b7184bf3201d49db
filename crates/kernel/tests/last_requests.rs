//! Requests whose bytes have arrived when a server stops are answered.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use ferry_kernel::http::{Server, empty};
use hyper::Response;
use tokio::task::spawn_blocking;
use tokio::time::{Duration, sleep};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const CALLERS: usize = 30;

async fn start_server() -> ferry_kernel::http::ServerHandle {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let handler = |_, _| async { Response::new(empty()) };
    server.serve(handler).unwrap()
}

/// Reads one answer; its head, or what arrived of it before the connection ended.
fn read_answer(caller: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\n") && matches!(caller.read(&mut byte), Ok(1)) {
        answer.push(byte[0]);
    }
    String::from_utf8(answer).unwrap()
}

async fn read_answers(callers: Vec<TcpStream>) -> Vec<String> {
    let read = move || {
        callers
            .into_iter()
            .map(|mut caller| read_answer(&mut caller))
            .collect()
    };
    spawn_blocking(read).await.unwrap()
}

fn send_from_new_callers(address: SocketAddr) -> Vec<TcpStream> {
    let callers = (0..CALLERS).map(|_| {
        let mut caller = TcpStream::connect(address).unwrap();
        caller.write_all(REQUEST).unwrap();
        caller
    });
    callers.collect()
}

fn assert_all_answered(answers: &[String]) {
    let answered = answers
        .iter()
        .filter(|answer| answer.starts_with("HTTP/1.1 200"));
    assert_eq!(answered.count(), CALLERS, "{answers:?}");
}

#[tokio::test]
async fn a_request_that_waits_on_a_kept_connection_when_the_server_stops_is_answered() {
    let handle = start_server().await;
    let mut callers = send_from_new_callers(handle.address);
    let kept = callers.iter().map(|caller| caller.try_clone().unwrap());
    assert_all_answered(&read_answers(kept.collect()).await);
    // Lets the server wait for the next requests.
    sleep(Duration::from_millis(50)).await;
    for caller in &mut callers {
        caller.write_all(REQUEST).unwrap();
    }
    let stopping = tokio::spawn(async move { handle.stop().await });
    assert_all_answered(&read_answers(callers).await);
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_request_of_a_connection_that_waits_to_be_accepted_when_the_server_stops_is_answered() {
    let handle = start_server().await;
    let callers = send_from_new_callers(handle.address);
    let stopping = tokio::spawn(async move { handle.stop().await });
    assert_all_answered(&read_answers(callers).await);
    stopping.await.unwrap();
}
