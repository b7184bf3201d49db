//! A request whose caller has closed its connection before the request is read is not handled.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_kernel::http::{Server, collect_limited, empty};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::{sleep, timeout};

/// Largest body of a request, in bytes.
const BODY_LIMIT: usize = 1024;
/// Time in which a request would be handled.
const HANDLING_TIME: Duration = Duration::from_millis(300);

const REQUESTS: [&[u8]; 2] = [
    b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody",
];

/// Number of `requests` that a handler has read as a whole, of callers that leave or stay before the server reads them.
async fn handled(requests: &[&[u8]], do_leave: bool) -> usize {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = server.address().unwrap();
    let connect = |request: &&[u8]| {
        let mut caller = TcpStream::connect(address).unwrap();
        caller.write_all(request).unwrap();
        caller
    };
    let mut callers: Vec<TcpStream> = requests.iter().map(connect).collect();
    if do_leave {
        callers.clear();
    }
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    let handler = move |request: Request<Incoming>, _| {
        let counted = Arc::clone(&counted);
        async move {
            collect_limited(request.into_body(), BODY_LIMIT)
                .await
                .unwrap();
            counted.fetch_add(1, Ordering::Relaxed);
            Response::new(empty())
        }
    };
    let handle = server.serve(handler).unwrap();
    sleep(HANDLING_TIME).await;
    drop(callers);
    timeout(HANDLING_TIME, handle.abort()).await.unwrap();
    count.load(Ordering::Relaxed)
}

#[tokio::test]
async fn a_request_whose_caller_left_before_it_was_read_is_not_handled() {
    for request in REQUESTS {
        assert_eq!(handled(&[request; 16], true).await, 0);
    }
}

#[tokio::test]
async fn a_request_whose_caller_waits_is_handled() {
    assert_eq!(handled(&REQUESTS, false).await, REQUESTS.len());
}
