//! Lists of all keys of a store whose pages do not go on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_platform::store::{StoreClient, StoreError, TopicPartition, UPSTREAM_TOPIC};
use ferry_standin::raw_http::read_request;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(2);
/// A page that the store gives out whichever key is asked for.
const SAME_PAGE: &str = r#"{"entries":[{"key":"a&1","value":"eA==","offset":1},{"key":"a&2","value":"eA==","offset":2}],"hasMore":true,"endOffset":3}"#;
/// A page that says that others follow, and holds no entry to ask after.
const EMPTY_PAGE: &str = r#"{"entries":[],"hasMore":true,"endOffset":3}"#;

/// A store that answers each call with the same page.
struct SamePageStore {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl SamePageStore {
    async fn start(page: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&calls);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, page, Arc::clone(&counted)));
            }
        });
        Self { address, calls }
    }
}

async fn serve(mut stream: TcpStream, page: &str, calls: Arc<AtomicUsize>) {
    while read_request(&mut stream).await.is_some() {
        calls.fetch_add(1, Ordering::Relaxed);
        let length = page.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{page}");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against a list that asks for the same page for ever, and one that takes the part before an empty page for the whole.
#[tokio::test]
async fn a_list_that_does_not_go_on_fails() {
    for (page, most_calls) in [(SAME_PAGE, 2), (EMPTY_PAGE, 1)] {
        let store = SamePageStore::start(page).await;
        let client = StoreClient::new(store.address, TIMEOUT);
        let listing = client.newest_all(TopicPartition::only(UPSTREAM_TOPIC));
        let listing = timeout(TIMEOUT, listing).await;
        let listing = listing.expect("the list ends in time");
        assert!(
            matches!(listing, Err(StoreError::ListingStalled { .. })),
            "{listing:?}"
        );
        assert_eq!(store.calls.load(Ordering::Relaxed), most_calls);
    }
}
