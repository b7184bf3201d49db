//! Load from callers that reuse their connections: each stays at one relay, also while that relay stops,
//! until a request is not served, and then continues at the next relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{BodyFraming, HttpClient, HttpError, collect_limited};
use ferry_platform::headers::CallerHeaders;
use ferry_rig::{KEY, fixture_headers, fixture_request};
use hyper::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::fault_plan::RELAYS;
use crate::soak_fleet::{REVOKED_KEY, SoakFleet};

/// Number of callers of a run.
const CALLER_COUNT: usize = 10;
/// Timeout of a request.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(9);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Pause between two requests of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(25);
/// Additional pause after a request that was not served.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// One in this many requests of a caller uses the key that is revoked.
const REVOKED_KEY_EVERY: usize = 4;
/// Paths of the requests, each with the kind of run that the rule for the path sets.
const PATHS: [(&str, RunKind); 4] = [
    ("/notes/7", RunKind::Idempotent),
    ("/letters/7", RunKind::Once),
    ("/chats/7", RunKind::ResumableStream),
    ("/drafts/7", RunKind::Stream),
];

/// One request and its outcome for the caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// Kind of run of the request, which decides whether it may be repeated.
    pub run: RunKind,
    /// Whether it used the key that is revoked.
    pub uses_revoked_key: bool,
    /// When it was sent.
    pub sent: Instant,
    /// Outcome for the caller.
    pub outcome: CallOutcome,
    /// How the end of the answer was marked; `None` without an answer.
    pub framing: Option<BodyFraming>,
}

/// Outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer, with its status and body.
    Answered(StatusCode, Bytes),
    /// An answer that broke off with an error, with its status.
    BrokenOff(StatusCode),
    /// No connection could be opened, so no relay read the request.
    NoConnection,
    /// The connection failed before an answer, with the error.
    NoAnswer(String),
    /// No answer within the timeout.
    TimedOut,
}

/// Sends requests until `stop` is set; returns the records of all callers.
pub async fn call_until(fleet: Arc<SoakFleet>, stop: Arc<AtomicBool>) -> Vec<CallRecord> {
    let mut addresses = Vec::new();
    for relay in &fleet.relays {
        addresses.push(relay.process.lock().await.callers());
    }
    let callers = (0..CALLER_COUNT).map(|number| {
        let caller = SoakCaller {
            number,
            addresses: addresses.clone(),
            client: HttpClient::default(),
        };
        tokio::spawn(caller.run_until(Arc::clone(&stop)))
    });
    let callers: Vec<_> = callers.collect();
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.unwrap());
    }
    records
}

/// Sends one request of each kind to the relay at `address`; returns their records.
pub async fn call_each_kind(address: SocketAddr, tag: &str) -> Vec<CallRecord> {
    let client = HttpClient::default();
    let mut records = Vec::new();
    for (path, run) in PATHS {
        let id = format!("{tag}-{}", run.as_str());
        records.push(call(&client, address, path, run, id, false).await);
    }
    records
}

struct SoakCaller {
    number: usize,
    addresses: Vec<SocketAddr>,
    client: HttpClient,
}

impl SoakCaller {
    async fn run_until(self, stop: Arc<AtomicBool>) -> Vec<CallRecord> {
        let mut records = Vec::new();
        let mut relay = self.number % RELAYS;
        while !stop.load(Ordering::Acquire) {
            let count = records.len();
            let (path, run) = PATHS[(self.number + count) % PATHS.len()];
            let id = format!("c{}-{count}", self.number);
            let uses_revoked_key = count.is_multiple_of(REVOKED_KEY_EVERY);
            let address = self.addresses[relay];
            let record = call(&self.client, address, path, run, id, uses_revoked_key).await;
            let served =
                matches!(record.outcome, CallOutcome::Answered(status, _) if status.is_success());
            records.push(record);
            if !served {
                relay = (relay + 1) % RELAYS;
                sleep(FAILURE_PAUSE).await;
            }
            sleep(CALL_PAUSE).await;
        }
        records
    }
}

/// Sends one request; returns its record.
pub async fn call(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    run: RunKind,
    id: String,
    uses_revoked_key: bool,
) -> CallRecord {
    let headers = CallerHeaders {
        key: Some(if uses_revoked_key { REVOKED_KEY } else { KEY }),
        ..fixture_headers(&id)
    };
    let request = fixture_request(address, path, &headers);
    let sent = Instant::now();
    let mut framing = None;
    let outcome = match client.send(request, CALL_TIMEOUT).await {
        Ok(answer) => {
            let (head, body) = answer.into_parts();
            framing = Some(BodyFraming::of(&Method::POST, &head));
            match collect_limited(body, MAX_ANSWER_BYTES).await {
                Ok(body) => CallOutcome::Answered(head.status, body),
                Err(_) => CallOutcome::BrokenOff(head.status),
            }
        }
        Err(HttpError::Connect { .. }) => CallOutcome::NoConnection,
        Err(HttpError::Timeout { .. }) => CallOutcome::TimedOut,
        Err(error) => CallOutcome::NoAnswer(error.to_string()),
    };
    CallRecord {
        id,
        run,
        uses_revoked_key,
        sent,
        outcome,
        framing,
    }
}
