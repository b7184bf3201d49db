//! The program `ferry-relay` as a process: settings, signals, exit codes and log lines.

use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_standin::StoreStandin;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout};
use tokio::time::{sleep, timeout};

/// Exit code for invalid settings.
const BAD_SETTINGS: Option<i32> = Some(2);
/// Timeout for an answer, a log line or the end of the process.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Settings of a host, as the platform writes them.
const SAMPLE: &str = include_str!("../platform/tests/samples/host.toml");

fn check_settings(text: &str) -> Output {
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

fn start_relay(settings: &Path) -> (Child, Lines<BufReader<ChildStdout>>) {
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

/// Reads the log up to the next line whose message starts with `message`.
async fn next_line_with(
    lines: &mut Lines<BufReader<ChildStdout>>,
    message: &str,
) -> serde_json::Value {
    let search = async {
        loop {
            let text = lines
                .next_line()
                .await
                .unwrap()
                .expect("the log ended before the expected line");
            let line: serde_json::Value = serde_json::from_str(&text).unwrap();
            if line["payload"].as_str().unwrap().starts_with(message) {
                return line;
            }
        }
    };
    timeout(TIMEOUT, search).await.expect(message)
}

fn send_signal(child: &Child, number: i32) {
    let pid = child.id().unwrap() as i32;
    // SAFETY: the process is a child of this test that has not been waited for yet.
    assert_eq!(unsafe { libc::kill(pid, number) }, 0);
}

#[test]
fn settings_are_checked_with_an_exit_code() {
    assert_eq!(check_settings(SAMPLE).status.code(), Some(0));
    let output = check_settings(&SAMPLE.replace("nodeName", "noseName"));
    assert_eq!(output.status.code(), BAD_SETTINGS);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("nodeName"), "{text}");
    assert_eq!(check_settings("not = [toml").status.code(), BAD_SETTINGS);
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
    let (mut child, mut lines) = start_relay(&file);
    let started = next_line_with(&mut lines, "relay started").await;
    let callers = started["kv"]["callers"].as_str().unwrap().to_owned();

    send_signal(&child, libc::SIGHUP);
    next_line_with(&mut lines, "settings read again; nothing changed").await;
    std::fs::write(&file, settings.replace("drainMs = 2000", "drainMs = 1900")).unwrap();
    send_signal(&child, libc::SIGHUP);
    next_line_with(&mut lines, "settings read again and in force").await;
    std::fs::write(&file, "broken = [").unwrap();
    send_signal(&child, libc::SIGHUP);
    next_line_with(&mut lines, "the old settings stay in force").await;
    let url = format!("http://{callers}/letters/7");
    let answer = HttpClient::default()
        .send(HttpRequest::get(&url), TIMEOUT)
        .await;
    assert_eq!(answer.unwrap().status(), 503);

    send_signal(&child, libc::SIGTERM);
    next_line_with(&mut lines, "relay leaves").await;
    next_line_with(&mut lines, "relay stopped").await;
    let status = timeout(TIMEOUT, child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
}

/// Guards against a fault that the soak test found (seeds 5 and 16): a relay that received SIGHUP, the signal to read its
/// settings again, while it started was terminated by it.
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
    let (mut child, mut lines) = start_relay(&file);
    // The program blocks on the pipe until its settings arrive. It opens the pipe before its start is complete, so that the
    // open below returns during the start.
    let settings = local_settings(&store);
    let mut pipe = tokio::fs::OpenOptions::new()
        .write(true)
        .open(&file)
        .await
        .unwrap();
    send_signal(&child, libc::SIGHUP);
    sleep(Duration::from_millis(100)).await;
    assert!(
        child.try_wait().unwrap().is_none(),
        "the program ended at the signal"
    );
    pipe.write_all(settings.as_bytes()).await.unwrap();
    pipe.flush().await.unwrap();
    drop(pipe);
    next_line_with(&mut lines, "relay started").await;
}

#[tokio::test]
async fn requests_are_answered_when_standard_output_is_not_read() {
    let store = StoreStandin::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.toml");
    std::fs::write(&file, local_settings(&store)).unwrap();
    let (child, mut lines) = start_relay(&file);
    let started = next_line_with(&mut lines, "relay started").await;
    let url = format!(
        "http://{}/letters/7",
        started["kv"]["callers"].as_str().unwrap()
    );
    let client = HttpClient::default();
    // Far more lines than the pipe and the queue of the log can hold.
    for _ in 0..5_000 {
        let answer = timeout(TIMEOUT, client.send(HttpRequest::get(&url), TIMEOUT)).await;
        assert_eq!(
            answer
                .expect("an answer waited for a log line")
                .unwrap()
                .status(),
            503
        );
    }
    drop(child);
}

/// Starts a stand-in; returns its process and its address.
async fn start_standin(arguments: &[&str]) -> (Child, String) {
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
async fn the_relay_finds_the_upstream_of_stand_ins_that_run_as_processes() {
    let (_store, store) = start_standin(&["store", "--listen", "127.0.0.1:0"]).await;
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
    let (replica, _) = start_standin(&replica).await;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.toml");
    let settings = SAMPLE
        .replace("10.1.0.40:8227", "127.0.0.1:0")
        .replace("10.1.0.40:8220", "127.0.0.1:0")
        .replace("10.200.1.7:8223", &store);
    std::fs::write(&file, settings).unwrap();
    let (_relay, mut lines) = start_relay(&file);
    let appeared = next_line_with(&mut lines, "upstream").await;
    assert_eq!(appeared["kv"]["upstream"], "up-1");
    assert_eq!(appeared["kv"]["change"], "Appeared");
    send_signal(&replica, libc::SIGTERM);
    let leaving = next_line_with(&mut lines, "upstream").await;
    assert_eq!(leaving["kv"]["change"], "Leaving");
}
