//! Callers that keep their connections until the process behind them is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{HttpClient, HttpError, collect_limited};
use ferry_platform::headers::CallerHeaders;
use ferry_rig::{KEY, scene_headers, scene_request};
use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use crate::fault_plan::RELAYS;
use crate::soak_fleet::{LOST_KEY, SoakFleet};

/// Callers of a run.
const CALLERS: usize = 10;
/// Longest time that a caller waits.
const CALL_LIMIT: Duration = Duration::from_secs(9);
/// Longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// One in so many requests uses the key that is taken away.
const LOST_KEY_EVERY: usize = 4;
const PATHS: [(&str, RunKind); 4] = [
    ("/notes/7", RunKind::Idempotent),
    ("/letters/7", RunKind::Once),
    ("/chats/7", RunKind::ResumableStream),
    ("/drafts/7", RunKind::Stream),
];

/// What a caller saw of one request.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// What may be repeated.
    pub run: RunKind,
    /// Whether it used the key that is taken away.
    pub lost_key: bool,
    /// When it was sent.
    pub sent: Instant,
    /// How it ended.
    pub end: CallEnd,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer.
    Answered(StatusCode, Bytes),
    /// An answer that visibly broke off.
    BrokenOff(StatusCode),
    /// No connection, so that nothing was read.
    NoConnection,
    /// The connection ended without an answer.
    NoAnswer(String),
    /// No answer in the caller's time.
    TooLate,
}

/// Calls until `stop`; gives what all callers saw.
pub async fn call_until(fleet: Arc<SoakFleet>, stop: Arc<AtomicBool>) -> Vec<CallRecord> {
    let mut addresses = Vec::new();
    for relay in &fleet.relays {
        addresses.push(relay.process.lock().await.callers());
    }
    let callers = (0..CALLERS).map(|number| {
        let caller = SoakCaller {
            number,
            addresses: addresses.clone(),
            client: HttpClient::default(),
        };
        tokio::spawn(caller.call_on(Arc::clone(&stop)))
    });
    let callers: Vec<_> = callers.collect();
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.unwrap());
    }
    records
}

/// One request of each kind at `address`; gives what came of them.
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
    async fn call_on(self, stop: Arc<AtomicBool>) -> Vec<CallRecord> {
        let mut records = Vec::new();
        let mut relay = self.number % RELAYS;
        while !stop.load(Ordering::Acquire) {
            let count = records.len();
            let (path, run) = PATHS[(self.number + count) % PATHS.len()];
            let id = format!("c{}-{count}", self.number);
            let lost_key = count.is_multiple_of(LOST_KEY_EVERY);
            let address = self.addresses[relay];
            let record = call(&self.client, address, path, run, id, lost_key).await;
            let served = matches!(record.end, CallEnd::Answered(status, _) if status.is_success());
            records.push(record);
            if !served {
                relay = (relay + 1) % RELAYS;
                sleep(FAILURE_PAUSE).await;
            }
            sleep(PAUSE).await;
        }
        records
    }
}

async fn call(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    run: RunKind,
    id: String,
    lost_key: bool,
) -> CallRecord {
    let headers = CallerHeaders {
        key: Some(if lost_key { LOST_KEY } else { KEY }),
        ..scene_headers(&id)
    };
    let request = scene_request(address, path, &headers);
    let sent = Instant::now();
    let end = match client.send(request, CALL_LIMIT).await {
        Ok(answer) => {
            let (head, body) = answer.into_parts();
            match collect_limited(body, ANSWER_LIMIT).await {
                Ok(body) => CallEnd::Answered(head.status, body),
                Err(_) => CallEnd::BrokenOff(head.status),
            }
        }
        Err(HttpError::Connect { .. }) => CallEnd::NoConnection,
        Err(HttpError::Timeout { .. }) => CallEnd::TooLate,
        Err(error) => CallEnd::NoAnswer(error.to_string()),
    };
    CallRecord {
        id,
        run,
        lost_key,
        sent,
        end,
    }
}
