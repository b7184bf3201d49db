//! Answers that a relay process forwards when it is killed.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::BodyFraming;
use ferry_rig::{
    RawBytes, RelayFixture, RelayProcess, call_raw, eventually, fixture_headers, fixture_request,
    fixture_rule,
};
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use tokio::time::sleep;

/// Settings file of the platform's sample host.
const SAMPLE: &str = include_str!("../platform/tests/samples/host.toml");
/// Number of events of a stream, and the pause between two of them.
const EVENTS: u64 = 12;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Time from the request to the kill, in the middle of the stream.
const KILL_DELAY: Duration = Duration::from_millis(550);
/// Last chunk of a body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const FRAMINGS: [BodyFraming; 2] = [BodyFraming::UntilClose, BodyFraming::Delimited];
const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];

/// An answer as its caller received it.
struct ReadAnswer(RawBytes);

impl ReadAnswer {
    /// Whether the caller must take the answer for a whole one.
    fn looks_complete(&self) -> bool {
        let head = String::from_utf8_lossy(&self.0.bytes).to_ascii_lowercase();
        let is_chunked = head.contains("transfer-encoding: chunked");
        !self.0.was_reset && (!is_chunked || self.0.bytes.ends_with(LAST_CHUNK))
    }

    fn has_all_events(&self) -> bool {
        let text = String::from_utf8_lossy(&self.0.bytes);
        (1..=EVENTS).all(|number| text.contains(&format!("id: {number}\n")))
    }
}

/// A relay process and an upstream whose streams take about a second.
struct KillPlay {
    _fixture: RelayFixture,
    _folder: tempfile::TempDir,
    replica: ReplicaStandin,
    relay: RelayProcess,
}

impl KillPlay {
    async fn start() -> Self {
        let fixture = RelayFixture::start().await.unwrap();
        fixture.configure(1, &[fixture_rule("/chats/", RunKind::ResumableStream)]);
        let replica = fixture.start_replica("up-1", "v1").await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_ferry-relay"));
        let store = fixture.store.address();
        let relay = RelayProcess::start(program, folder.path(), SAMPLE, "edge-1", store).unwrap();
        eventually("the relay is ready", async || {
            relay.is_ready().await.then_some(())
        })
        .await;
        Self {
            _fixture: fixture,
            _folder: folder,
            replica,
            relay,
        }
    }

    fn frame(&self, framing: BodyFraming) {
        self.replica.plan(ReplicaPlan {
            events: EVENTS,
            gap: EVENT_GAP,
            framing,
            ..ReplicaPlan::default()
        });
    }
}

/// Sends a request of HTTP `version` on a connection of its own, and reads its answer until the connection ends.
async fn read_answer(relay: SocketAddr, version: &str) -> ReadAnswer {
    let request = fixture_request(relay, "/chats/7", &fixture_headers("a"));
    ReadAnswer(call_raw(request, version).await.unwrap())
}

/// Guards against streams that look complete because the process that forwarded them was killed (ORDER).
#[tokio::test]
async fn a_stream_of_a_killed_relay_does_not_look_complete() {
    for framing in FRAMINGS {
        for version in VERSIONS {
            let mut play = KillPlay::start().await;
            play.frame(framing);
            let reading = tokio::spawn(read_answer(play.relay.callers(), version));
            sleep(KILL_DELAY).await;
            play.relay.kill().await;
            let answer = reading.await.unwrap();
            let label = format!("{framing:?}, {version}");
            assert!(
                !answer.0.bytes.is_empty() && !answer.has_all_events(),
                "{label}"
            );
            assert!(!answer.looks_complete(), "{label}");
        }
    }
}

/// The same streams end in order if the relay lives.
#[tokio::test]
async fn a_stream_of_a_relay_that_lives_ends_in_order() {
    let play = KillPlay::start().await;
    for framing in FRAMINGS {
        play.frame(framing);
        for version in VERSIONS {
            let answer = read_answer(play.relay.callers(), version).await;
            let label = format!("{framing:?}, {version}");
            assert!(answer.looks_complete(), "{label}");
            assert!(answer.has_all_events(), "{label}");
        }
    }
}
