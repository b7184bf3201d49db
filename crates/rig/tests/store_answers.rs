//! Answers of a store in trouble that are none, or cannot be read.

use std::time::Duration;

use ferry_platform::store::{
    AppendCondition, ReadQuery, StoreClient, StoreError, TopicPartition, UPSTREAM_TOPIC,
};
use ferry_standin::raw_http::read_request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(2);
const UPSTREAMS: TopicPartition<'static> = TopicPartition::only(UPSTREAM_TOPIC);

/// Starts a store that sends the same bytes to each call; returns a client of it.
async fn start(answer: &'static [u8]) -> StoreClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                while read_request(&mut stream).await.is_some() {
                    if stream.write_all(answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    StoreClient::new(address, TIMEOUT)
}

/// Guards against records that count as refused, and are written again or given up, although they may be there.
#[tokio::test]
async fn an_append_whose_answer_cannot_be_read_is_unconfirmed() {
    let answers: [&[u8]; 9] = [
        b"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 101 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{\"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n{\"offset\":-1,\"endOffset\":null}",
    ];
    let mut wrong = Vec::new();
    for answer in answers {
        let client = start(answer).await;
        let records = [b"record".as_slice()];
        let append = client.append(UPSTREAMS, records, AppendCondition::None);
        let appended = append.await;
        if !matches!(appended, Err(StoreError::Unconfirmed(_))) {
            wrong.push(format!("{}: {appended:?}", answer.escape_ascii()));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against bytes that are no answer, as records or keys that the store holds.
#[tokio::test]
async fn what_is_no_answer_of_a_store_is_read_as_none() {
    let answers: [&[u8]; 3] = [
        b"HTTP/1.1 000 Odd\r\nContent-Length: 32\r\n\r\n{\"entries\":[],\"endOffset\":3}     ",
        b"HTTP/1.1 600 Odd\r\nContent-Length: 32\r\n\r\n{\"entries\":[],\"endOffset\":3}     ",
        b"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 32\r\n\r\n{\"entries\":[],\"endOffset\":3}     ",
    ];
    let query = ReadQuery {
        from: 0,
        wait: Duration::ZERO,
        most_bytes: 1024,
    };
    for answer in answers {
        let client = start(answer).await;
        assert!(client.read(UPSTREAMS, query).await.is_err());
        assert!(client.newest_all(UPSTREAMS).await.is_err());
    }
}
