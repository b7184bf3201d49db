//! Upstreams that write an earlier answer once more, where the answer to the next request is expected.

use std::net::SocketAddr;
use std::sync::Arc;

use ferry_decisions::ruleset::RunKind;
use ferry_platform::headers::AnswerHeaders;
use hyper::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::deployment::{Deployment, call, loopback, request, rule};
use crate::raw_replica::{header_lines, read_request, register_raw};

/// Number of requests that each test sends.
const REQUEST_COUNT: usize = 8;

/// What an upstream writes once more instead of an answer to the second request of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RepeatedAnswer {
    /// A refusal, with the attempt that it belongs to.
    NamedRefusal,
    /// A refusal that names no attempt.
    UnnamedRefusal,
    /// A statement that the upstream is another one.
    Misdirected,
}

/// Attempts whose requests an upstream ran.
type RunLog = Arc<Mutex<Vec<String>>>;

impl RepeatedAnswer {
    fn status(self) -> StatusCode {
        match self {
            Self::NamedRefusal | Self::UnnamedRefusal => StatusCode::SERVICE_UNAVAILABLE,
            Self::Misdirected => StatusCode::MISDIRECTED_REQUEST,
        }
    }

    fn encode(self, attempt_id: &str) -> String {
        let attempt_id = match self {
            Self::UnnamedRefusal => "",
            Self::NamedRefusal | Self::Misdirected => attempt_id,
        };
        encode_answer(self.status(), attempt_id, true, "")
    }
}

fn encode_answer(status: StatusCode, attempt_id: &str, not_run: bool, body: &str) -> String {
    let mut headers = HeaderMap::new();
    let answer = AnswerHeaders {
        attempt_id: attempt_id.to_owned(),
        signature: (!not_run).then(|| "signed".to_owned()),
        not_run,
        ..AnswerHeaders::default()
    };
    answer.write(&mut headers);
    let lines = header_lines(&headers);
    format!(
        "HTTP/1.1 {} X\r\n{lines}Keep-Alive: timeout=30\r\nContent-Length: {}\r\n\r\n{body}",
        status.as_u16(),
        body.len()
    )
}

/// Starts an upstream that refuses its first request and runs the others. On a kept connection it writes that refusal once more before each answer.
async fn start_repeating_replica(
    deployment: &Deployment,
    id: &str,
    kind: RepeatedAnswer,
) -> RunLog {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let runs = RunLog::default();
    let log = Arc::clone(&runs);
    let refused = Arc::new(Mutex::new(None));
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, kind, Arc::clone(&refused), Arc::clone(&log)));
        }
    });
    register_raw(deployment, id, address);
    runs
}

async fn serve(
    mut stream: TcpStream,
    kind: RepeatedAnswer,
    refused: Arc<Mutex<Option<String>>>,
    log: RunLog,
) {
    let mut repeated = String::new();
    while let Some(bound) = read_request(&mut stream).await {
        let first = refused
            .lock()
            .get_or_insert(bound.attempt_id.clone())
            .clone();
        let own = match first == bound.attempt_id {
            true => encode_answer(StatusCode::SERVICE_UNAVAILABLE, &first, true, ""),
            false => {
                log.lock().push(bound.attempt_id.clone());
                encode_answer(StatusCode::OK, &bound.attempt_id, false, "ran")
            }
        };
        let both = format!("{repeated}{own}");
        if stream.write_all(both.as_bytes()).await.is_err() {
            return;
        }
        repeated = kind.encode(&first);
    }
}

/// Sends requests that may run once at most to two such upstreams; each that ran must not have run twice, and its caller must not have been told that it did not run.
async fn check_repeated(kind: RepeatedAnswer) {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let first = start_repeating_replica(&deployment, "up-1", kind).await;
    let second = start_repeating_replica(&deployment, "up-2", kind).await;
    let relay = deployment.relay().await;
    let mut told_not_run = Vec::new();
    for number in 0..REQUEST_COUNT {
        let attempt_id = format!("a-{number}");
        let answer = call(request(&relay, "/letters/7", &attempt_id)).await;
        let promises = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        if promises.contains(&answer.status) {
            told_not_run.push(attempt_id);
        }
    }
    let mut runs = first.lock().clone();
    runs.extend(second.lock().iter().cloned());
    assert!(!runs.is_empty(), "no request reached a kept connection");
    let refused: Vec<_> = told_not_run.iter().filter(|id| runs.contains(id)).collect();
    assert!(
        refused.is_empty(),
        "ran, but told that they had not: {refused:?}"
    );
    let total = runs.len();
    runs.sort();
    runs.dedup();
    assert_eq!(runs.len(), total, "a request ran twice");
}

#[tokio::test]
async fn a_refusal_that_is_written_once_more_counts_for_no_other_request() {
    check_repeated(RepeatedAnswer::NamedRefusal).await;
}

#[tokio::test]
async fn a_refusal_without_an_attempt_counts_on_a_new_connection_only() {
    check_repeated(RepeatedAnswer::UnnamedRefusal).await;
}

#[tokio::test]
async fn a_statement_of_another_upstream_that_is_written_once_more_counts_for_no_other_request() {
    check_repeated(RepeatedAnswer::Misdirected).await;
}
