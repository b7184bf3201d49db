//! Memory of a relay process whose callers send large bodies.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use ferry_decisions::memory::MemoryShares;
use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_rig::{
    RelayFixture, RelayProcess, eventually, fixture_headers, fixture_request, fixture_rule,
};
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Duration, interval, sleep};

/// Settings file of the platform's sample host.
const SAMPLE: &str = include_str!("../platform/tests/samples/host.toml");
/// Clients with large bodies, and the length of these, in bytes: together they take most of the host's memory.
const LARGE_CLIENTS: usize = 60;
const LARGE_BODY: usize = 4 * 1024 * 1024;
/// Length of other bodies, in bytes, and the time between two of them: 200 a second.
const SMALL_BODY: usize = 1_000;
const SMALL_PERIOD: Duration = Duration::from_millis(5);
/// Memory that the process may take, in bytes: 200 of the sample's 260 MB.
const MEMORY_BOUND: usize = 200_000_000;
/// Time that an upstream takes for a request.
const RUN_TIME: Duration = Duration::from_millis(200);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks at the memory.
const LOOK_PERIOD: Duration = Duration::from_millis(2);
/// Memory of the sample's host, in bytes.
const HOST_MEMORY: usize = 260_000_000;
/// Unit in which the system states memory, in bytes.
const SYSTEM_UNIT: usize = 1_024;

/// Memory of the process `pid`, in bytes.
fn resident_bytes(pid: u32) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let units = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    units.map_or(0, |units: usize| units * SYSTEM_UNIT)
}

/// Looks again and again at the memory of a process.
struct MemoryWatch {
    task: JoinHandle<()>,
    peak: Arc<AtomicUsize>,
}

impl MemoryWatch {
    fn start(pid: u32) -> Self {
        let peak = Arc::new(AtomicUsize::new(0));
        let task = tokio::spawn({
            let peak = Arc::clone(&peak);
            async move {
                loop {
                    peak.fetch_max(resident_bytes(pid), Ordering::Relaxed);
                    sleep(LOOK_PERIOD).await;
                }
            }
        });
        Self { task, peak }
    }

    /// Highest memory seen, in bytes.
    fn peak(self) -> usize {
        self.task.abort();
        self.peak.load(Ordering::Relaxed)
    }
}

fn request(relay: &RelayProcess, id: &str, length: usize) -> HttpRequest {
    let request = fixture_request(relay.callers(), "/letters/7", &fixture_headers(id));
    HttpRequest {
        body: Bytes::from(vec![b'x'; length]),
        ..request
    }
}

/// Guards against callers whose bodies together take a relay over its memory, so that all requests that it had passed on are lost (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_wait_while_their_memory_is_taken_and_small_ones_go_on() {
    let mut fixture = RelayFixture::start().await.unwrap();
    fixture.limits.body_bytes = LARGE_BODY;
    fixture.configure(1, &[fixture_rule("/letters/", RunKind::Idempotent)]);
    for number in 0..8 {
        let id = format!("up-{number}");
        let replica = fixture.start_replica(&id, "v1").await.unwrap();
        replica.plan(ReplicaPlan {
            wait: RUN_TIME,
            ..ReplicaPlan::default()
        });
    }
    let folder = tempfile::tempdir().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_ferry-relay"));
    let store = fixture.store.address();
    let relay = RelayProcess::start(program, folder.path(), SAMPLE, "entry-1", store).unwrap();
    let ready = async || relay.is_ready().await.then_some(());
    eventually("the relay is ready", ready).await;
    let pid = relay.id().unwrap();
    let memory = MemoryWatch::start(pid);
    let mut large = JoinSet::new();
    for number in 0..LARGE_CLIENTS {
        let request = request(&relay, &format!("large-{number}"), LARGE_BODY);
        large.spawn(async move { HttpClient::default().send(request, CALL_TIMEOUT).await });
    }
    let mut small = JoinSet::new();
    let client = HttpClient::default();
    let mut ticks = interval(SMALL_PERIOD);
    let mut statuses = Vec::new();
    while !large.is_empty() {
        tokio::select! {
            _ = ticks.tick() => {
                let request = request(&relay, &format!("small-{}", small.len()), SMALL_BODY);
                let client = client.clone();
                small.spawn(async move { client.send(request, CALL_TIMEOUT).await });
            }
            Some(answer) = large.join_next() => {
                statuses.push(answer.unwrap().map(|answer| answer.status()));
            }
        }
    }
    let mut unanswered = 0;
    let count = small.len();
    while let Some(answer) = small.join_next().await {
        let status = answer.unwrap().map(|answer| answer.status());
        unanswered += usize::from(!status.is_ok_and(|status| status == StatusCode::OK));
    }
    let peak = memory.peak();
    let afterwards = resident_bytes(pid);
    for status in &statuses {
        let status = status.as_ref().unwrap();
        let is_promise = *status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(*status == StatusCode::OK || is_promise, "{status}");
    }
    assert_eq!(unanswered, 0, "of {count} small requests");
    assert!(peak < MEMORY_BOUND, "{peak} bytes");
    let shares = MemoryShares::of(HOST_MEMORY);
    let without_bodies = MEMORY_BOUND - shares.small_requests - shares.large_requests;
    assert!(
        afterwards < without_bodies,
        "{afterwards} bytes after the last body"
    );
}
