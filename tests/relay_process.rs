//! The program `ferry-relay` as a process: settings, signals, exit codes, log lines.

use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_standin::StoreStandin;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout};
use tokio::time::{sleep, timeout};

/// Exit code of wrong settings.
const BAD_SETTINGS: Option<i32> = Some(2);
/// Longest wait for a log line, or for the process to end.
const WAIT: Duration = Duration::from_secs(30);
/// Settings of a host, as the platform writes them.
const SAMPLE: &str = include_str!("../platform/tests/samples/host.toml");

fn check(text: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.toml");
    std::fs::write(&file, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_ferry-relay"))
        .arg("--settings")
        .arg(&file)
        .arg("--check-settings")
        .output()
        .unwrap()
}

fn local_settings(store: &StoreStandin) -> String {
    SAMPLE
        .replace("10.1.0.40:8227", "127.0.0.1:0")
        .replace("10.1.0.40:8220", "127.0.0.1:0")
        .replace("10.200.1.7:8223", &store.address().to_string())
}

fn start(settings: &Path) -> (Child, Lines<BufReader<ChildStdout>>) {
    let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_ferry-relay"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    (child, lines)
}

/// The next log line with this message.
async fn line(lines: &mut Lines<BufReader<ChildStdout>>, message: &str) -> serde_json::Value {
    let search = async {
        loop {
            let text = lines.next_line().await.unwrap().expect("the log goes on");
            let line: serde_json::Value = serde_json::from_str(&text).unwrap();
            if line["payload"].as_str().unwrap().starts_with(message) {
                return line;
            }
        }
    };
    timeout(WAIT, search).await.expect(message)
}

fn signal(child: &Child, number: i32) {
    let pid = child.id().unwrap() as i32;
    // SAFETY: the process is a child of this test that was not waited for yet.
    assert_eq!(unsafe { libc::kill(pid, number) }, 0);
}

#[test]
fn settings_are_checked_with_an_exit_code() {
    assert_eq!(check(SAMPLE).status.code(), Some(0));
    let output = check(&SAMPLE.replace("nodeName", "noseName"));
    assert_eq!(output.status.code(), BAD_SETTINGS);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("nodeName"), "{text}");
    assert_eq!(check("not = [toml").status.code(), BAD_SETTINGS);
}

#[test]
fn without_settings_the_program_says_what_to_set() {
    let output = Command::new(env!("CARGO_BIN_EXE_ferry-relay"))
        .env_clear()
        .output()
        .unwrap();
    assert_eq!(output.status.code(), BAD_SETTINGS);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("is not set"), "{text}");
}

#[tokio::test]
async fn signals_reload_and_stop_the_program() {
    let store = StoreStandin::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.toml");
    let settings = local_settings(&store);
    std::fs::write(&file, &settings).unwrap();
    let (mut child, mut lines) = start(&file);
    let started = line(&mut lines, "relay started").await;
    let callers = started["kv"]["callers"].as_str().unwrap().to_owned();

    signal(&child, libc::SIGHUP);
    line(&mut lines, "settings read again; nothing changed").await;
    std::fs::write(&file, settings.replace("drainMs = 2000", "drainMs = 1900")).unwrap();
    signal(&child, libc::SIGHUP);
    line(&mut lines, "settings read again and in force").await;
    std::fs::write(&file, "broken = [").unwrap();
    signal(&child, libc::SIGHUP);
    line(&mut lines, "the old settings stay in force").await;
    let url = format!("http://{callers}/letters/7");
    let answer = HttpClient::default()
        .send(HttpRequest::get(&url), WAIT)
        .await;
    assert_eq!(answer.unwrap().status(), 503);

    signal(&child, libc::SIGTERM);
    line(&mut lines, "relay leaves").await;
    line(&mut lines, "relay stopped").await;
    let status = timeout(WAIT, child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
}

/// Seen in the soak (seeds 5 and 16): a relay that was told to read its settings again while it started died.
#[tokio::test]
async fn a_signal_during_the_start_does_not_end_the_program() {
    let store = StoreStandin::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.toml");
    let name = std::ffi::CString::new(file.to_str().unwrap()).unwrap();
    // SAFETY: the name ends with a zero byte and outlives the call.
    assert_eq!(unsafe { libc::mkfifo(name.as_ptr(), 0o600) }, 0);
    let (mut child, mut lines) = start(&file);
    // The program waits for its settings now; it opens the pipe before it is past its start.
    let settings = local_settings(&store);
    let mut pipe = tokio::fs::OpenOptions::new()
        .write(true)
        .open(&file)
        .await
        .unwrap();
    signal(&child, libc::SIGHUP);
    sleep(Duration::from_millis(100)).await;
    assert!(child.try_wait().unwrap().is_none(), "it lives on");
    pipe.write_all(settings.as_bytes()).await.unwrap();
    pipe.flush().await.unwrap();
    drop(pipe);
    line(&mut lines, "relay started").await;
}

#[tokio::test]
async fn nothing_blocks_when_standard_output_is_not_read() {
    let store = StoreStandin::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.toml");
    std::fs::write(&file, local_settings(&store)).unwrap();
    let (child, mut lines) = start(&file);
    let started = line(&mut lines, "relay started").await;
    let url = format!(
        "http://{}/letters/7",
        started["kv"]["callers"].as_str().unwrap()
    );
    let client = HttpClient::default();
    // Far more lines than the pipe and the queue hold.
    for _ in 0..5_000 {
        let answer = timeout(WAIT, client.send(HttpRequest::get(&url), WAIT)).await;
        assert_eq!(
            answer
                .expect("no answer waits for a log line")
                .unwrap()
                .status(),
            503
        );
    }
    drop(child);
}

/// Starts a stand-in and returns it with its address.
async fn standin(arguments: &[&str]) -> (Child, String) {
    let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_ferry-standin"))
        .args(arguments)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let first = lines.next_line().await.unwrap().unwrap();
    let addresses: serde_json::Value = serde_json::from_str(&first).unwrap();
    (child, addresses["listening"].as_str().unwrap().to_owned())
}

#[tokio::test]
async fn stand_ins_run_as_processes_and_the_relay_finds_their_upstream() {
    let (_store, store) = standin(&["store", "--listen", "127.0.0.1:0"]).await;
    let replica = [
        "replica",
        "--listen",
        "127.0.0.1:0",
        "--store",
        &store,
        "--id",
        "up-1",
        "--service",
        "letters",
        "--version",
        "v1",
    ];
    let (replica, _) = standin(&replica).await;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.toml");
    let settings = SAMPLE
        .replace("10.1.0.40:8227", "127.0.0.1:0")
        .replace("10.1.0.40:8220", "127.0.0.1:0")
        .replace("10.200.1.7:8223", &store);
    std::fs::write(&file, settings).unwrap();
    let (_relay, mut lines) = start(&file);
    let appeared = line(&mut lines, "upstream").await;
    assert_eq!(appeared["kv"]["upstream"], "up-1");
    assert_eq!(appeared["kv"]["change"], "Appeared");
    signal(&replica, libc::SIGTERM);
    let leaving = line(&mut lines, "upstream").await;
    assert_eq!(leaving["kv"]["change"], "Leaving");
}
