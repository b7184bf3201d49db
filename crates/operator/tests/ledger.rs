//! Tests of the ledger against a log service that expires records, refuses calls and loses answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ferry_decisions::bill::{BillBatch, BillEntry, BillOutcome, LedgerReport, bill_stream};
use ferry_decisions::claim::shard_of;
use ferry_decisions::names::{HostName, RequestId, VersionName, WorkspaceName};
use ferry_decisions::time::UnixMillis;
use ferry_kernel::http::{HttpBody, Server, ServerHandle, collect_limited, empty, json_response};
use ferry_operator::ledger::LedgerReader;
use ferry_platform::log::{AppendAnswer, LogClient, LogRecord, ReadAnswer};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::sync::Mutex;
use uuid::Uuid;

/// Longest record that the fake log accepts, in bytes.
const BODY_LIMIT: usize = 1 << 20;
/// Time of every bill and record.
const TIME: UnixMillis = UnixMillis(1_700_000_000_000);

/// One stream of the fake log.
#[derive(Debug, Default)]
struct FakeStream {
    records: Vec<String>,
    earliest: usize,
}

/// A log service in memory.
#[derive(Debug, Default)]
struct FakeLog {
    streams: Mutex<HashMap<String, FakeStream>>,
    /// Number of further appends that are stored but answered with an error.
    answers_to_lose: AtomicU32,
    /// Number of further calls that are refused.
    refusals: AtomicU32,
}

impl FakeLog {
    async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        if decrement(&self.refusals) {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let stream = request.uri().path().split('/').nth(2).unwrap().to_owned();
        if request.method() == Method::GET {
            let from = query_number(request.uri().query().unwrap(), "from");
            return json_response(StatusCode::OK, &self.read(&stream, from));
        }
        let body = collect_limited(request.into_body(), BODY_LIMIT)
            .await
            .unwrap();
        let offset = self.append(&stream, String::from_utf8(body.to_vec()).unwrap());
        if decrement(&self.answers_to_lose) {
            return status(StatusCode::BAD_GATEWAY);
        }
        json_response(StatusCode::OK, &AppendAnswer { offset })
    }

    fn append(&self, stream: &str, data: String) -> u64 {
        let mut streams = self.streams.lock().unwrap();
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.records.push(data);
        stream.records.len() as u64 - 1
    }

    fn read(&self, stream: &str, from: usize) -> ReadAnswer {
        let mut streams = self.streams.lock().unwrap();
        let stream = streams.entry(stream.to_owned()).or_default();
        let start = from.max(stream.earliest).min(stream.records.len());
        let records = stream.records.iter().enumerate().skip(start).take(3);
        ReadAnswer {
            earliest: stream.earliest as u64,
            next: stream.records.len() as u64,
            records: records
                .map(|(offset, data)| LogRecord {
                    offset: offset as u64,
                    time: TIME,
                    data: data.clone(),
                })
                .collect(),
        }
    }

    /// Drops all records of the stream.
    fn expire(&self, stream: &str) {
        let mut streams = self.streams.lock().unwrap();
        let stream = streams.get_mut(stream).unwrap();
        stream.earliest = stream.records.len();
    }

    fn bill(&self, request: &str, tokens: u64) {
        let request = RequestId::new(request);
        let stream = bill_stream(shard_of(&request));
        let bill = BillEntry {
            request,
            workspace: WorkspaceName::new("clinic"),
            version: VersionName::new("small-1"),
            prompt_tokens: tokens,
            completion_tokens: tokens,
            cost: tokens,
            outcome: BillOutcome::Answered,
            router: HostName::new("router-a"),
            time: TIME,
        };
        let batch = BillBatch {
            owner: HostName::new("router-a"),
            batch: Uuid::new_v4(),
            bills: vec![bill],
        };
        self.append(&stream, serde_json::to_string(&batch).unwrap());
    }
}

/// Decrements `count`; `false` if it was 0 already.
fn decrement(count: &AtomicU32) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}

fn status(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

fn query_number(query: &str, name: &str) -> usize {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap()
}

async fn start_server(log: &Arc<FakeLog>) -> (ServerHandle, LogClient) {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let shared = Arc::clone(log);
    let handle = server
        .serve(move |request, _| {
            let log = Arc::clone(&shared);
            async move { log.answer(request).await }
        })
        .unwrap();
    let base = format!("http://{}", handle.address);
    (handle, LogClient::new(&base, Duration::from_secs(10)))
}

async fn read_report(client: &LogClient) -> (LedgerReader, LedgerReport) {
    let mut reader = LedgerReader::new(client.clone());
    let report = reader.read().await.unwrap();
    (reader, report)
}

fn to_json(report: &LedgerReport) -> String {
    serde_json::to_string_pretty(report).unwrap()
}

#[tokio::test]
async fn a_second_run_gives_the_same_bytes_with_and_without_checkpoints() {
    let log = Arc::new(FakeLog::default());
    let (_server, client) = start_server(&log).await;
    for index in 0..50 {
        log.bill(&format!("order-{}", index % 40), 7);
    }
    log.append("bills-0", "not a bill".to_owned());
    let (reader, first) = read_report(&client).await;
    let (_, second) = read_report(&client).await;
    assert_eq!(to_json(&first), to_json(&second));
    reader.write_checkpoints().await.unwrap();
    let (_, third) = read_report(&client).await;
    assert_eq!(to_json(&first), to_json(&third));
    assert_eq!(first.workspaces["clinic"].requests, 40);
    assert_eq!(first.counts.foreign, 1);
}

#[tokio::test]
async fn repeats_of_bills_that_expired_after_a_checkpoint_are_not_counted() {
    let log = Arc::new(FakeLog::default());
    let (_server, client) = start_server(&log).await;
    log.bill("order-1", 7);
    let (reader, before) = read_report(&client).await;
    reader.write_checkpoints().await.unwrap();
    log.expire(&bill_stream(shard_of(&RequestId::new("order-1"))));
    log.bill("order-1", 7);
    let (_, after) = read_report(&client).await;
    assert_eq!(before.workspaces, after.workspaces);
    assert_eq!((after.counts.repeats, after.counts.gaps), (1, 0));
}

#[tokio::test]
async fn bills_that_expired_unread_are_reported_as_a_gap() {
    let log = Arc::new(FakeLog::default());
    let (_server, client) = start_server(&log).await;
    log.bill("order-1", 7);
    log.expire(&bill_stream(shard_of(&RequestId::new("order-1"))));
    let (_, report) = read_report(&client).await;
    assert_eq!(report.counts.gaps, 1);
    assert!(report.counts.need_attention());
}

#[tokio::test]
async fn lost_answers_and_refusals_do_not_change_the_report() {
    let log = Arc::new(FakeLog::default());
    let (_server, client) = start_server(&log).await;
    log.bill("order-1", 7);
    log.refusals.store(2, Ordering::SeqCst);
    let (reader, first) = read_report(&client).await;
    log.answers_to_lose.store(2, Ordering::SeqCst);
    reader.write_checkpoints().await.unwrap();
    let (_, second) = read_report(&client).await;
    assert_eq!(to_json(&first), to_json(&second));
}
