//! A request counts from the arrival of its bytes at this host, however late they are read.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use ferry_kernel::http::{ArrivalTime, Server, empty};
use hyper::Response;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time for which the event loop does nothing after the bytes have arrived.
const BLOCKED: Duration = Duration::from_millis(300);
/// Difference that is allowed, for the coarse clock of the system and the wait for the second thread.
const TOLERANCE: Duration = Duration::from_millis(100);

#[tokio::test]
async fn a_request_that_is_read_late_counts_from_its_arrival() {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let (sender, mut arrivals) = mpsc::unbounded_channel();
    let handler = move |request: hyper::Request<_>, _| {
        let arrival = request.extensions().get::<ArrivalTime>().copied().unwrap();
        sender.send(arrival.0.elapsed()).unwrap();
        async { Response::new(empty()) }
    };
    let handle = server.serve(handler).unwrap();
    let mut caller = TcpStream::connect(handle.address).unwrap();
    for _ in 0..2 {
        caller
            .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            .unwrap();
        thread::sleep(BLOCKED);
        let read_at = Instant::now();
        let age = arrivals.recv().await.unwrap();
        let allowed = BLOCKED - TOLERANCE..BLOCKED + read_at.elapsed() + TOLERANCE;
        assert!(allowed.contains(&age), "{age:?} after the arrival");
    }
}
