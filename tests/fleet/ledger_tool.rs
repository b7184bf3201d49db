//! The command `ferry-ledger`: its report and its exit codes.

use std::process::Output;
use std::time::Duration;

use ferry_decisions::names::RequestId;
use ferry_rig::FleetRig;
use serde_json::Value;
use tokio::process::Command;

use crate::letters::{LetterAnswer, letter_fleet, send_letter};
use crate::sample::client;

/// Time that the service takes for a call.
const CALL_TIME: Duration = Duration::from_millis(5);

async fn run_ledger(url: &str, flags: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ferry-ledger"));
    command.args(["--platform", url]).args(flags);
    command.output().await.unwrap()
}

async fn send_letters(rig: &FleetRig, count: usize) {
    let (caller, address) = (client(), rig.callers(0));
    for _ in 0..count {
        let id = RequestId::generate().to_string();
        let answer = send_letter(&caller, &address, &id).await;
        assert_eq!(answer, LetterAnswer::Answered);
    }
}

#[tokio::test]
async fn the_report_is_deterministic_and_anomalies_set_the_exit_code() {
    let rig = letter_fleet(1, CALL_TIME).await;
    let url = rig.platform_url();
    send_letters(&rig, 5).await;
    let first = run_ledger(&url, &["--json", "--checkpoint"]).await;
    assert_eq!(first.status.code(), Some(0));
    let second = run_ledger(&url, &["--json"]).await;
    assert_eq!(first.stdout, second.stdout);
    let report: Value = serde_json::from_slice(&first.stdout).unwrap();
    assert_eq!(report["workspaces"]["clinic"]["requests"], 5);

    let table = run_ledger(&url, &[]).await;
    assert!(String::from_utf8(table.stdout).unwrap().contains("clinic"));
    rig.log().append("bills-0", "not a bill").await.unwrap();
    assert_eq!(run_ledger(&url, &[]).await.status.code(), Some(1));
}

#[tokio::test]
async fn wrong_arguments_and_an_unreachable_platform_have_distinct_exit_codes() {
    let mut tool = Command::new(env!("CARGO_BIN_EXE_ferry-ledger"));
    assert_eq!(tool.output().await.unwrap().status.code(), Some(2));
    let unreachable = run_ledger("http://127.0.0.1:1", &[]).await;
    assert_eq!(unreachable.status.code(), Some(3));
    assert!(unreachable.stdout.is_empty());
    let message = String::from_utf8(unreachable.stderr).unwrap();
    assert!(message.contains("run the command again"), "{message}");
}
