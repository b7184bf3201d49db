//! An upstream that answers with given bytes, and a caller that reads the bytes of an answer.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord, UpstreamStage};
use ferry_decisions::time::UnixMillis;
use ferry_platform::entries::encode_upstream;
use ferry_platform::headers::AnswerHeaders;
use ferry_platform::store::UPSTREAM_TOPIC;
use ferry_rig::{RawBytes, call_raw, fixture_headers, fixture_request};
use ferry_router::relay::RelayDaemon;
pub use ferry_standin::raw_http::{header_lines, read_request, read_run};
use hyper::HeaderMap;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::deployment::{Deployment, SERVICE, loopback};

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Last chunk of a body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How an upstream marks the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawFraming {
    Length,
    Chunks,
    None,
}

/// How an upstream ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawEnd {
    Fin,
    Rst,
}

/// What an upstream does with each request.
#[derive(Debug, Clone, Copy)]
pub struct RawPlan {
    /// Body of a complete answer, which its framing announces.
    pub whole: &'static str,
    /// Part of the body that is sent.
    pub sent: &'static str,
    pub framing: RawFraming,
    pub end: RawEnd,
    /// Whether the upstream ends with the connection.
    pub exits: bool,
}

/// Part of an answer that goes on until the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)] // Used by the tests of memory.
pub enum EndlessPart {
    Head,
    Body,
}

/// Bytes of an answer as its caller received them.
#[derive(Debug)]
pub struct RawAnswer {
    head: String,
    body: Vec<u8>,
    /// Whether the connection ended with a reset.
    pub was_reset: bool,
}

/// Starts an upstream with id `id` that follows `plan`, and registers it.
pub async fn start_raw_replica(deployment: &Deployment, id: &str, plan: RawPlan) {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, id.to_owned(), plan));
    register_raw(deployment, id, address);
}

/// Registers an upstream with id `id` at `address`.
pub fn register_raw(deployment: &Deployment, id: &str, address: SocketAddr) {
    let record = raw_record(id, address);
    let store = &deployment.store;
    store.put(UPSTREAM_TOPIC, id, &encode_upstream(&record));
}

/// Starts an upstream with id `id` whose answers have a part without end.
#[allow(dead_code)]
pub async fn start_endless_replica(deployment: &Deployment, id: &str, part: EndlessPart) {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    register_raw(deployment, id, listener.local_addr().unwrap());
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(send_endlessly(stream, part));
        }
    });
}

#[allow(dead_code)]
async fn send_endlessly(mut stream: TcpStream, part: EndlessPart) {
    let Some(bound) = read_request(&mut stream).await else {
        return;
    };
    let head = answer_head(bound.attempt_id);
    let (start, chunk) = match part {
        EndlessPart::Head => (head, format!("x-more: {}\r\n", "x".repeat(4_000))),
        EndlessPart::Body => (format!("{head}\r\n"), "x".repeat(16 * 1024)),
    };
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(chunk.as_bytes()).await.is_ok() {}
}

/// Starts an upstream with id `id` that sends the first events of a stream and then, for ever, a byte of the next event at a time.
pub async fn start_trickling_replica(
    deployment: &Deployment,
    id: &str,
    events: &'static str,
    period: Duration,
) {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    register_raw(deployment, id, listener.local_addr().unwrap());
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(trickle(stream, events, period));
        }
    });
}

async fn trickle(mut stream: TcpStream, events: &str, period: Duration) {
    let Some(bound) = read_request(&mut stream).await else {
        return;
    };
    let head = answer_head(bound.attempt_id);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let start = format!("{head}Transfer-Encoding: chunked\r\n\r\n{}", chunk(events));
    let mut sent = stream.write_all(start.as_bytes()).await;
    while sent.is_ok() {
        tokio::time::sleep(period).await;
        sent = stream.write_all(chunk("x").as_bytes()).await;
    }
}

/// Head of an answer without the lines that mark the end of its body, and without its blank line.
pub fn answer_head(attempt_id: String) -> String {
    let mut headers = HeaderMap::new();
    let answer = AnswerHeaders {
        attempt_id,
        signature: Some("signed".to_owned()),
        ..AnswerHeaders::default()
    };
    answer.write(&mut headers);
    format!("HTTP/1.1 200 OK\r\n{}", header_lines(&headers))
}

/// Entry of an upstream with id `id` at `address`.
pub fn raw_record(id: &str, address: SocketAddr) -> UpstreamRecord {
    UpstreamRecord {
        incarnation: UpstreamIncarnation {
            id: id.into(),
            started_at: Some(UnixMillis(1)),
        },
        service: SERVICE.into(),
        address,
        zone: "zone-a".into(),
        version: "v1".into(),
        slots: 8,
        stage: UpstreamStage::Ready,
        warm_up: Duration::ZERO,
        sequence: 1,
    }
}

async fn serve(listener: TcpListener, id: String, plan: RawPlan) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        if plan.exits {
            if let Some(answered) = answer(&mut stream, &id, plan).await {
                drop(listener);
                finish(answered, stream, plan.end).await;
                return;
            }
            continue;
        }
        let id = id.clone();
        tokio::spawn(async move {
            if let Some(answered) = answer(&mut stream, &id, plan).await {
                finish(answered, stream, plan.end).await;
            }
        });
    }
}

/// Bytes of the answer that have been sent.
struct Answered;

/// Reads one request and sends the planned part of its answer, after the health checks before it; `None` if no request arrives.
async fn answer(stream: &mut TcpStream, id: &str, plan: RawPlan) -> Option<Answered> {
    let bound = read_run(stream, id).await?;
    let mut bytes = answer_head(bound.attempt_id);
    bytes.push_str(&match plan.framing {
        RawFraming::Length => format!("Content-Length: {}\r\n\r\n{}", plan.whole.len(), plan.sent),
        RawFraming::Chunks => format!("Transfer-Encoding: chunked\r\n\r\n{}", chunks(plan)),
        RawFraming::None => format!("\r\n{}", plan.sent),
    });
    stream.write_all(bytes.as_bytes()).await.ok()?;
    Some(Answered)
}

fn chunks(plan: RawPlan) -> String {
    let mut chunks = String::new();
    if !plan.sent.is_empty() {
        chunks.push_str(&format!("{:x}\r\n{}\r\n", plan.sent.len(), plan.sent));
    }
    if plan.sent == plan.whole {
        chunks.push_str("0\r\n\r\n");
    }
    chunks
}

async fn finish(_answered: Answered, mut stream: TcpStream, end: RawEnd) {
    // Lets the bytes arrive before a reset, which discards those that wait.
    tokio::time::sleep(Duration::from_millis(30)).await;
    match end {
        RawEnd::Fin => {
            let _ = stream.shutdown().await;
        }
        RawEnd::Rst => SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap(),
    }
}

/// Sends a request on a connection of its own, and reads its answer until the connection ends.
pub async fn read_raw(relay: &RelayDaemon, path: &str, attempt_id: &str) -> RawAnswer {
    read_raw_at(relay.callers_address(), path, attempt_id).await
}

/// Sends a request to the relay at `callers` on a connection of its own, and reads its answer until the connection ends.
pub async fn read_raw_at(callers: SocketAddr, path: &str, attempt_id: &str) -> RawAnswer {
    let request = fixture_request(callers, path, &fixture_headers(attempt_id));
    let answer = call_raw(request, "HTTP/1.1").await;
    let RawBytes {
        mut bytes,
        was_reset,
    } = answer.expect("the answer ends in time");
    let end = bytes
        .windows(HEAD_END.len())
        .position(|bytes| bytes == HEAD_END);
    let end = end.map_or(bytes.len(), |start| start + HEAD_END.len());
    let body = bytes.split_off(end);
    RawAnswer {
        head: String::from_utf8_lossy(&bytes).to_ascii_lowercase(),
        body,
        was_reset,
    }
}

impl RawAnswer {
    /// Whether the status is 200.
    pub fn is_success(&self) -> bool {
        self.status() == Some(200)
    }

    /// Status; `None` when the first line has none.
    pub fn status(&self) -> Option<u16> {
        self.head.split(' ').nth(1)?.parse().ok()
    }

    /// Whether a line of the head behind the first one contains `text`, in lower case.
    pub fn head_contains(&self, text: &str) -> bool {
        self.head.lines().skip(1).any(|line| line.contains(text))
    }

    /// Whether a caller takes it for a success with its whole body.
    pub fn looks_complete(&self) -> bool {
        let is_unframed =
            !self.head.contains("transfer-encoding") && !self.head.contains("content-length");
        self.is_success() && (self.is_framed_as_complete() || is_unframed && !self.was_reset)
    }

    /// Whether the length or the last chunk says that the body is complete.
    pub fn is_framed_as_complete(&self) -> bool {
        if self.head.contains("transfer-encoding: chunked") {
            return self.body.ends_with(LAST_CHUNK);
        }
        let length = self.head.lines().find_map(|line| {
            let length = line.strip_prefix("content-length: ")?;
            length.parse().ok()
        });
        length == Some(self.body.len())
    }

    /// Body as text; only for a body without chunks.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
