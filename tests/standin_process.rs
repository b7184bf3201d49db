//! The program `ferry-standin` as a process: addresses on standard output, stop on a signal, crash by an ordered fault.

use std::path::Path;
use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_rig::ChildProcess;
use hyper::Method;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Timeout of every call; reached only when a test fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Exit code of a stand-in that crashed.
const CRASH_EXIT: i32 = 134;

/// A platform and an engine that is registered with it.
struct Standins {
    platform: ChildProcess,
    engine: ChildProcess,
    _folder: TempDir,
}

impl Standins {
    async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let platform = ["platform", "--listen", "127.0.0.1:0", "--hosts-lag-ms", "0"];
        let platform = start_standin(folder.path(), &platform).await;
        let url = url_of(&platform);
        let engine = ["engine", "--listen", "127.0.0.1:0", "--platform", &url];
        let identity = ["--name", "e1", "--zone", "nasr-hall", "--version", "v1"];
        let engine = start_standin(folder.path(), &[&engine[..], &identity[..]].concat()).await;
        Self {
            platform,
            engine,
            _folder: folder,
        }
    }
}

async fn start_standin(folder: &Path, arguments: &[&str]) -> ChildProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_ferry-standin"));
    let arguments: Vec<_> = arguments.iter().map(|text| (*text).to_owned()).collect();
    let log = folder.join(format!("{}.log", arguments[0]));
    ChildProcess::start(program, &arguments, &log)
        .await
        .unwrap()
}

fn url_of(process: &ChildProcess) -> String {
    format!("http://{}", process.address("listening"))
}

#[tokio::test]
async fn a_terminated_engine_deregisters_and_exits_with_code_0() {
    let mut standins = Standins::start().await;
    let client = HttpClient::default();
    let hosts = HttpRequest::get(&format!("{}/hosts", url_of(&standins.platform)));
    let listing: Value = client
        .fetch_json(hosts.clone(), CALL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(listing["hosts"][0]["name"], "e1");
    standins.engine.terminate();
    assert_eq!(standins.engine.wait().await, Some(0));
    let listing: Value = client.fetch_json(hosts, CALL_TIMEOUT).await.unwrap();
    assert_eq!(listing["hosts"], json!([]));
    standins.platform.terminate();
    assert_eq!(standins.platform.wait().await, Some(0));
}

#[tokio::test]
async fn a_crash_ends_the_process() {
    let mut standins = Standins::start().await;
    let client = HttpClient::default();
    let url = url_of(&standins.engine);
    let order = json!({"crash": {"marker": "POISON"}});
    let mut order = HttpRequest::post_json(&format!("{url}/standin/faults"), &order);
    order.method = Method::PUT;
    client.fetch(order, CALL_TIMEOUT).await.unwrap();
    let chat = json!({"model": "v1", "messages": [{"role": "user", "content": "POISON"}]});
    let poison = HttpRequest::post_json(&format!("{url}/v1/chat/completions"), &chat);
    assert!(client.fetch(poison, CALL_TIMEOUT).await.is_err());
    assert_eq!(standins.engine.wait().await, Some(CRASH_EXIT));
}
