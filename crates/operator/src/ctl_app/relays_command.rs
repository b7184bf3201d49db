//! `ferryctl relays`: shows the status of relays on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_router::relay::STATUS_PATH;
use ferry_router::relay::status::{RelayStatus, RolloutStatus, ServiceStatus};
use futures::future::join_all;
use serde_json::json;

use super::{CtlError, table};

/// Time limit for the status request to one relay.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints the status of the relays at `addresses`; fails when none answers.
pub async fn run(addresses: &[SocketAddr], json: bool) -> Result<u8, CtlError> {
    if addresses.is_empty() {
        return Err(CtlError::BadInput(
            "no relay address is given; pass the IP:PORT of a relay's metrics port".to_owned(),
        ));
    }
    let client = HttpClient::default();
    let answers = join_all(
        addresses
            .iter()
            .map(|address| fetch_status(&client, *address)),
    )
    .await;
    let relays: Vec<_> = answers
        .iter()
        .filter_map(|answer| answer.as_ref().ok())
        .collect();
    if json {
        println!("{}", json!(relays));
    } else {
        show(&relays);
    }
    for (address, answer) in addresses.iter().zip(&answers) {
        if let Err(problem) = answer {
            eprintln!("{address}: {problem}");
        }
    }
    if relays.is_empty() {
        return Err(CtlError::NoAnswer(
            "no relay answered; check the addresses and --metrics-port of the relays".to_owned(),
        ));
    }
    Ok(0)
}

async fn fetch_status(client: &HttpClient, address: SocketAddr) -> Result<RelayStatus, String> {
    let request = HttpRequest::get(&format!("http://{address}{STATUS_PATH}"));
    let body = client.fetch(request, STATUS_TIMEOUT).await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body)
        .map_err(|error| format!("the answer is not a relay status: {error}"))
}

fn show(relays: &[&RelayStatus]) {
    let headers = [
        "HOST",
        "ZONE",
        "PHASE",
        "READY",
        "REVISION",
        "MISSING",
        "UNREADABLE",
        "RULES AGE",
        "UPSTREAMS AGE",
        "FED",
        "WORK",
    ];
    let rows: Vec<_> = relays.iter().map(|relay| relay_row(relay)).collect();
    table::print(&headers, &rows);
    println!();
    let headers = [
        "HOST",
        "SERVICE",
        "LIVE",
        "LEAVING",
        "SUSPECT",
        "BRITTLE",
        "PERMITS",
        "NO PERMIT",
        "IN FLIGHT",
        "COLD",
        "REPEATS LEFT",
    ];
    let rows: Vec<_> = relays
        .iter()
        .flat_map(|relay| {
            relay
                .services
                .iter()
                .map(|service| service_row(relay, service))
        })
        .collect();
    table::print(&headers, &rows);
    let rows: Vec<_> = relays
        .iter()
        .flat_map(|relay| {
            relay
                .rollouts
                .iter()
                .map(|rollout| rollout_row(relay, rollout))
        })
        .collect();
    if !rows.is_empty() {
        println!();
        table::print(&["HOST", "ROLL-OUT", "TARGET", "PHASE", "ELAPSED"], &rows);
    }
    let evacuating = relays
        .iter()
        .filter(|relay| !relay.evacuated_zones.is_empty());
    let rows: Vec<_> = evacuating
        .map(|relay| vec![relay.host.clone(), relay.evacuated_zones.join(" ")])
        .collect();
    if !rows.is_empty() {
        println!();
        table::print(&["HOST", "EVACUATED ZONES"], &rows);
    }
}

fn relay_row(relay: &RelayStatus) -> Vec<String> {
    vec![
        relay.host.clone(),
        relay.zone.clone(),
        json!(relay.phase).as_str().unwrap_or_default().to_owned(),
        yes_or_no(relay.ready),
        relay.revision.to_string(),
        relay
            .missing_revision
            .map_or_else(|| "-".to_owned(), |revision| revision.to_string()),
        unreadable(relay),
        format!("{} ms", relay.rules_age_ms),
        format!("{} ms", relay.upstreams_age_ms),
        yes_or_no(relay.fed),
        relay.in_progress.to_string(),
    ]
}

/// How much of the newest configuration cannot be read: all of it, or this many of its rules.
fn unreadable(relay: &RelayStatus) -> String {
    match relay.newest_unreadable {
        true => "all".to_owned(),
        false => relay.unreadable_rules.to_string(),
    }
}

fn service_row(relay: &RelayStatus, service: &ServiceStatus) -> Vec<String> {
    vec![
        relay.host.clone(),
        service.service.clone(),
        service.live.to_string(),
        service.leaving.to_string(),
        service.suspect.to_string(),
        service
            .brittle
            .map_or_else(|| "-".to_owned(), |survived| survived.to_string()),
        service.permits_open.to_string(),
        service.without_permits.to_string(),
        service.in_flight.to_string(),
        service.cold.to_string(),
        format!("{:.1}", service.repeats_left),
    ]
}

fn rollout_row(relay: &RelayStatus, rollout: &RolloutStatus) -> Vec<String> {
    vec![
        relay.host.clone(),
        rollout.service.clone(),
        rollout.target.clone(),
        rollout.phase.clone(),
        format!("{} ms", rollout.elapsed_ms),
    ]
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
