//! `ferry-standin` as a process: addresses on standard output, stop by signal, crash by order.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpRequest};
use hyper::Method;
use serde_json::{Value, json};

/// Limit of every call; reached only when a test fails.
const LONG: Duration = Duration::from_secs(30);
/// Exit code of a stand-in that crashed.
const CRASH_EXIT: i32 = 134;

/// A running process with the base of its addresses.
struct StandinProcess {
    child: Child,
    url: String,
}

impl StandinProcess {
    fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_ferry-standin"))
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let addresses: Value = serde_json::from_str(&line).unwrap();
        let url = format!("http://{}", addresses["listening"].as_str().unwrap());
        Self { child, url }
    }

    fn engine(platform: &Self) -> Self {
        let listen = ["engine", "--listen", "127.0.0.1:0", "--platform"];
        let identity = ["--name", "e1", "--zone", "nasr-hall", "--version", "v1"];
        Self::start(&[&listen[..], &[platform.url.as_str()], &identity[..]].concat())
    }

    fn platform() -> Self {
        Self::start(&["platform", "--listen", "127.0.0.1:0", "--hosts-lag-ms", "0"])
    }

    fn terminate(mut self) -> ExitStatus {
        let pid = self.child.id().try_into().unwrap();
        // SAFETY: sends a signal to a child that has not been waited for.
        assert_eq!(unsafe { libc::kill(pid, libc::SIGTERM) }, 0);
        self.child.wait().unwrap()
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
async fn a_terminated_engine_leaves_the_list_and_exits_cleanly() {
    let platform = StandinProcess::platform();
    let engine = StandinProcess::engine(&platform);
    let client = HttpClient::default();
    let hosts = HttpRequest::get(&format!("{}/hosts", platform.url));
    let listing: Value = client.fetch_json(hosts.clone(), LONG).await.unwrap();
    assert_eq!(listing["hosts"][0]["name"], "e1");
    assert_eq!(engine.terminate().code(), Some(0));
    let listing: Value = client.fetch_json(hosts, LONG).await.unwrap();
    assert_eq!(listing["hosts"], json!([]));
    assert_eq!(platform.terminate().code(), Some(0));
}

#[tokio::test]
async fn a_crash_ends_the_process() {
    let platform = StandinProcess::platform();
    let mut engine = StandinProcess::engine(&platform);
    let client = HttpClient::default();
    let order = json!({"crash": {"marker": "POISON"}});
    let mut order = HttpRequest::post_json(&format!("{}/standin/faults", engine.url), &order);
    order.method = Method::PUT;
    client.fetch(order, LONG).await.unwrap();
    let chat = json!({"model": "v1", "messages": [{"role": "user", "content": "POISON"}]});
    let url = format!("{}/v1/chat/completions", engine.url);
    let poison = client
        .fetch(HttpRequest::post_json(&url, &chat), LONG)
        .await;
    assert!(poison.is_err());
    assert_eq!(engine.child.wait().unwrap().code(), Some(CRASH_EXIT));
}
