//! A fleet with one plain service whose calls may run only once, and helpers for its tests.

use std::time::Duration;

use ferry_decisions::bill::LedgerReport;
use ferry_operator::ledger::LedgerReader;
use ferry_rig::{FleetRig, RigClient, eventually};
use hyper::Method;
use serde_json::Value;

use crate::sample::{client, configuration, programs};

/// Outcome of one call of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LetterAnswer {
    /// The service's answer.
    Answered,
    /// A refusal with its run state.
    Refused(String),
    /// The connection failed.
    Broken,
}

/// Starts `routers` routers and one service whose calls take `duration`.
pub async fn letter_fleet(routers: usize, duration: Duration) -> FleetRig {
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    let duration = duration.as_millis().to_string();
    let flags = ["--duration-ms", duration.as_str()];
    rig.add_service("service-1", "letters", &flags)
        .await
        .unwrap();
    for _ in 0..routers {
        rig.add_router().await.unwrap();
    }
    rig.wait_until_ready(1).await;
    rig.publish_everywhere(configuration()).await;
    rig
}

/// Sends a call that may run only once.
pub async fn send_letter(caller: &RigClient, address: &str, id: &str) -> LetterAnswer {
    let headers = [("idempotency-key", id.to_owned())];
    let path = "/services/letters/send";
    let answer = caller
        .call(address, Method::POST, path, &headers, "{}")
        .await;
    match answer {
        Ok((200, _, _)) => LetterAnswer::Answered,
        Ok((_, _, body)) => {
            let document: Value = serde_json::from_slice(&body).unwrap();
            LetterAnswer::Refused(document["run"].as_str().unwrap().to_owned())
        }
        Err(_) => LetterAnswer::Broken,
    }
}

/// Sends the call through router `index` in the background.
pub fn send_in_background(
    rig: &FleetRig,
    index: usize,
    id: &str,
) -> tokio::task::JoinHandle<LetterAnswer> {
    let address = rig.callers(index);
    let id = id.to_owned();
    tokio::spawn(async move { send_letter(&client(), &address, &id).await })
}

/// Sends the call until its claim is on the log: repeats it as long as it is refused as `not_run`, which is the refusal
/// while the log is down.
pub async fn send_until_settled(rig: &FleetRig, index: usize, id: &str) -> LetterAnswer {
    let (caller, address) = (client(), rig.callers(index));
    eventually("the call is settled", || async {
        let answer = send_letter(&caller, &address, id).await;
        let refused = LetterAnswer::Refused("not_run".to_owned());
        (answer != refused).then_some(answer)
    })
    .await
}

/// The service's counter `event` (`started` or `finished`) for request `id`.
pub async fn service_count(rig: &FleetRig, id: &str, event: &str) -> u64 {
    let address = rig.services[0].process.address("listening");
    let counters = rig.counters(&address).await;
    counters["requests"][id][event].as_u64().unwrap_or_default()
}

/// Number of records appended to the platform's log so far.
pub async fn appends(rig: &FleetRig) -> u64 {
    let address = rig.platform.address("listening");
    let counters = rig.counters(&address).await;
    counters["appends"].as_u64().unwrap()
}

/// Totals and anomalies of all bills on the log.
pub async fn ledger(rig: &FleetRig) -> LedgerReport {
    LedgerReader::new(rig.log()).read().await.unwrap()
}

/// Number of requests billed to all workspaces.
pub async fn billed(rig: &FleetRig) -> u64 {
    let report = ledger(rig).await;
    report.workspaces.values().map(|total| total.requests).sum()
}
