//! The commands of the operations page, with real processes: from a failed request's id to its cause, and what
//! relays believe.

use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{HttpClient, HttpRequest, collect_limited};
use ferry_platform::headers::CallerHeaders;
use ferry_rig::{
    KEY, RelayFixture, RelayProcess, SERVICE, eventually, fixture_headers, fixture_request,
    fixture_rule,
};
use ferry_standin::{ReplicaPlan, ReplicaStandin};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");
const SAMPLE: &str = include_str!("../platform/tests/samples/host.toml");
/// The page's command, and the id in it.
const COMMAND: &str = "ferryctl explain 5f0c1d2e edge-1.log";
const PAGE_ID: &str = "5f0c1d2e";
/// The page's command for the views of relays, and the addresses in it.
const VIEW_COMMAND: &str = "ferryctl relays 10.1.0.40:9464 10.1.0.41:9464";
const PAGE_ADDRESSES: [&str; 2] = ["10.1.0.40:9464", "10.1.0.41:9464"];
const WAIT: Duration = Duration::from_secs(30);
const ANSWER_LIMIT: usize = 1 << 20;

struct Incident {
    _fixture: RelayFixture,
    _replicas: Vec<ReplicaStandin>,
    relay: RelayProcess,
    folder: tempfile::TempDir,
}

impl Incident {
    /// A relay that is ready, and two upstreams that follow `plan`.
    async fn start(run: RunKind, plan: &ReplicaPlan) -> Self {
        let fixture = RelayFixture::start().await.unwrap();
        let mut rule = fixture_rule("/letters/", run);
        rule.attempts = 2;
        fixture.configure(1, &[rule]);
        let mut replicas = Vec::new();
        for id in ["up-1", "up-2"] {
            let replica = fixture.start_replica(id, "v1").await.unwrap();
            replica.plan(plan.clone());
            replicas.push(replica);
        }
        let folder = tempfile::tempdir().unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_ferry-relay"));
        let store = fixture.store.address();
        let relay = RelayProcess::start(program, folder.path(), SAMPLE, "edge-1", store).unwrap();
        let incident = Self {
            _fixture: fixture,
            _replicas: replicas,
            relay,
            folder,
        };
        let ready = || async { incident.relay.is_ready().await.then_some(()) };
        eventually("the relay is ready", ready).await;
        incident
    }

    fn request(&self, id: &str, key: &str) -> HttpRequest {
        let headers = CallerHeaders {
            key: Some(key),
            ..fixture_headers(id)
        };
        fixture_request(self.relay.callers(), "/letters/7", &headers)
    }

    async fn call(&self, id: &str, key: &str) {
        let answer = HttpClient::default()
            .send(self.request(id, key), WAIT)
            .await;
        if let Ok(answer) = answer {
            let body = answer.into_body();
            let _ = collect_limited(body, ANSWER_LIMIT).await;
        }
    }

    /// What the page's command prints for the request `id`, once it has `ending`.
    async fn explained(&self, id: &str, ending: &str) -> String {
        let told = || async {
            let told = self.explain(id);
            told.contains(ending).then_some(told)
        };
        eventually(ending, told).await
    }

    fn explain(&self, id: &str) -> String {
        let words = |word| if word == PAGE_ID { id.to_owned() } else { word };
        stdout(&self.run(COMMAND, words))
    }

    /// Runs a command of the page, with `words` put in the place of its own.
    fn run(&self, command: &str, words: impl Fn(String) -> String) -> Output {
        assert!(PAGE.contains(command), "the page has the command");
        let arguments = command.split(' ').skip(1);
        Command::new(env!("CARGO_BIN_EXE_ferryctl"))
            .current_dir(self.folder.path())
            .args(arguments.map(|word| words(word.to_owned())))
            .output()
            .unwrap()
    }
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test]
async fn relays_show_what_they_believe() {
    let incident = Incident::start(RunKind::Once, &ReplicaPlan::default()).await;
    incident.call("viewed-1", KEY).await;
    let address = incident.relay.metrics().to_string();
    let words = |word: String| match PAGE_ADDRESSES.contains(&word.as_str()) {
        true => address.clone(),
        false => word,
    };
    let output = incident.run(VIEW_COMMAND, words);
    let told = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{told}");
    let rows: Vec<Vec<_>> = told
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    let relay = rows
        .iter()
        .find(|row| row.first() == Some(&"edge-1"))
        .unwrap();
    assert_eq!(
        relay[1..5],
        ["cluj-sala-a", "serving", "yes", "1"],
        "{told}"
    );
    let service = rows
        .iter()
        .find(|row| row.get(1) == Some(&SERVICE))
        .unwrap();
    assert_eq!(service[2..6], ["2", "0", "0", "0"], "{told}");

    let nobody = |word: String| match word.contains(':') {
        true => "127.0.0.1:1".to_owned(),
        false => word,
    };
    let output = incident.run(VIEW_COMMAND, nobody);
    assert_eq!(output.status.code(), Some(1));
}

#[tokio::test]
async fn a_request_refused_at_once_is_explained() {
    let incident = Incident::start(RunKind::Once, &ReplicaPlan::default()).await;
    incident.call("refused-1", "nobody's key").await;
    let told = incident.explained("refused-1", "refused at once").await;
    assert!(told.contains("unknown_key"), "{told}");
}

#[tokio::test]
async fn a_broken_stream_is_explained() {
    let plan = ReplicaPlan {
        events: 6,
        break_after: Some(2),
        ..ReplicaPlan::default()
    };
    let incident = Incident::start(RunKind::Stream, &plan).await;
    incident.call("broken-1", KEY).await;
    let told = incident.explained("broken-1", "not answered").await;
    assert!(told.contains("broken_off"), "{told}");
    assert!(told.contains("stream broke off"), "{told}");
    assert!(told.contains("upstream up-"), "{told}");
}

#[tokio::test]
async fn a_request_that_failed_after_a_retry_is_explained() {
    let plan = ReplicaPlan {
        break_after: Some(0),
        ..ReplicaPlan::default()
    };
    let incident = Incident::start(RunKind::Idempotent, &plan).await;
    incident.call("retried-1", KEY).await;
    let told = incident.explained("retried-1", "not answered").await;
    assert_eq!(told.matches("request sent").count(), 2, "{told}");
    assert!(told.contains("AttemptsUsed"), "{told}");
}

#[tokio::test]
async fn a_request_whose_router_was_killed_is_explained() {
    let plan = ReplicaPlan {
        wait: WAIT,
        ..ReplicaPlan::default()
    };
    let mut incident = Incident::start(RunKind::Once, &plan).await;
    let request = incident.request("cut-1", KEY);
    let call = tokio::spawn(async move { HttpClient::default().send(request, WAIT).await });
    incident.explained("cut-1", "request sent").await;
    incident.relay.kill().await;
    let _ = call.await;
    incident.relay.restart().unwrap();
    let told = incident
        .explained("cut-1", "the router's process ended")
        .await;
    assert!(told.contains("request sent"), "{told}");
}

#[test]
fn an_unknown_request_or_file_is_a_clear_error() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("edge-1.log"), "").unwrap();
    let run = |file: &str| {
        let output = Command::new(env!("CARGO_BIN_EXE_ferryctl"))
            .current_dir(folder.path())
            .args(["explain", "nobody", file])
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), told)
    };
    let (code, told) = run("edge-1.log");
    assert_eq!(code, Some(1));
    assert!(told.contains("no line names nobody"), "{told}");
    let (code, told) = run("absent.log");
    assert_eq!(code, Some(2));
    assert!(told.contains("absent.log"), "{told}");
    assert_eq!(run("--stdin").0, Some(1));
}
