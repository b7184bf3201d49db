//! Runs the commands of the contributors' page that start stand-ins and order faults.

use std::path::Path;
use std::time::Duration;

use ferry_kernel::http::HttpClient;
use ferry_rig::{ChildProcess, curl_request};

const PAGE: &str = include_str!("../CONTRIBUTING.md");
/// Prefix of the page's lines that start a stand-in.
const COMMAND_PREFIX: &str = "cargo run --bin ferry-standin -- ";
/// Timeout of a call; reached only when a test fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A stand-in with the address that the page gives it.
struct PageStandin {
    page_address: String,
    process: ChildProcess,
}

/// Returns `text` with the addresses of the page replaced by those that the processes listen on.
fn replace_addresses(text: &str, standins: &[PageStandin]) -> String {
    standins.iter().fold(text.to_owned(), |text, standin| {
        text.replace(&standin.page_address, &standin.process.address("listening"))
    })
}

async fn start_standin(line: &str, standins: &[PageStandin], folder: &Path) -> PageStandin {
    let mut arguments: Vec<_> = line
        .split(' ')
        .map(|word| replace_addresses(word, standins))
        .collect();
    let listen = arguments
        .iter()
        .position(|word| word == "--listen")
        .unwrap();
    let page_address = std::mem::replace(&mut arguments[listen + 1], "127.0.0.1:0".to_owned());
    let program = Path::new(env!("CARGO_BIN_EXE_ferry-standin"));
    let log = folder.join(format!("{}.log", arguments[0]));
    let process = ChildProcess::start(program, &arguments, &log)
        .await
        .unwrap();
    PageStandin {
        page_address,
        process,
    }
}

#[tokio::test]
async fn the_commands_of_the_page_work() {
    let folder = tempfile::tempdir().unwrap();
    let mut standins = Vec::new();
    for line in PAGE
        .lines()
        .filter_map(|line| line.strip_prefix(COMMAND_PREFIX))
    {
        let standin = start_standin(line, &standins, folder.path()).await;
        standins.push(standin);
    }
    assert_eq!(standins.len(), 3);
    let client = HttpClient::default();
    let calls: Vec<_> = PAGE
        .lines()
        .filter(|line| line.starts_with("curl "))
        .collect();
    assert!(calls.len() >= 7, "{calls:#?}");
    for call in calls {
        let request = curl_request(&replace_addresses(call, &standins));
        let answer = client.fetch(request, CALL_TIMEOUT).await;
        assert!(answer.is_ok(), "{call}: {answer:?}");
    }
}
