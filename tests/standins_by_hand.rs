//! The commands by which the contributors' page starts stand-ins and orders faults.

use std::path::Path;
use std::time::Duration;

use ferry_kernel::http::HttpClient;
use ferry_rig::{ChildProcess, curl_request};

const PAGE: &str = include_str!("../CONTRIBUTING.md");
/// Start of the lines that start a stand-in.
const START: &str = "cargo run --bin ferry-standin -- ";
/// Limit of a call; reached only when a test fails.
const LONG: Duration = Duration::from_secs(30);

/// A stand-in with the address that the page gives it.
struct PageStandin {
    page_address: String,
    process: ChildProcess,
}

/// `text` with the addresses of the page replaced by those that the processes took.
fn localized(text: &str, standins: &[PageStandin]) -> String {
    standins.iter().fold(text.to_owned(), |text, standin| {
        text.replace(&standin.page_address, &standin.process.address("listening"))
    })
}

async fn start(line: &str, standins: &[PageStandin], folder: &Path) -> PageStandin {
    let mut arguments: Vec<_> = line
        .split(' ')
        .map(|word| localized(word, standins))
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
    for line in PAGE.lines().filter_map(|line| line.strip_prefix(START)) {
        let standin = start(line, &standins, folder.path()).await;
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
        let request = curl_request(&localized(call, &standins));
        let answer = client.fetch(request, LONG).await;
        assert!(answer.is_ok(), "{call}: {answer:?}");
    }
}
