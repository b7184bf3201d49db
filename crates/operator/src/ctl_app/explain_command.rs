//! `ferryctl explain`: shows the routers' decision traces of a request.

use serde_json::{Value, json};

use super::CtlError;
use crate::fleet::FleetClient;

/// Prints the decision traces of `request` from all routers that have one.
pub async fn run(fleet: &FleetClient, request: &str, json: bool) -> Result<u8, CtlError> {
    let traces = fleet.traces(request).await;
    if traces.is_empty() {
        return Err(CtlError::NoAnswer(format!(
            "no router has a decision trace of {request}; each router keeps the traces of its latest requests only"
        )));
    }
    for (host, trace) in &traces {
        if json {
            println!("{}", json!({ "host": host, "trail": trace }));
        } else {
            show(host, trace);
        }
    }
    Ok(0)
}

fn show(host: &str, trace: &Value) {
    println!(
        "{} of {} for {}, on {host}, configuration before offset {}",
        text(&trace["request"]),
        text(&trace["workspace"]),
        text(&trace["target"]),
        trace["config_offset"]
    );
    for excluded in list(&trace["excluded"]) {
        println!(
            "  not used  {}: {}",
            text(&excluded["version"]),
            text(&excluded["reason"])
        );
    }
    for attempt in list(&trace["attempts"]) {
        println!(
            "  stage {}   {} on {}: {}",
            attempt["stage"],
            text(&attempt["version"]),
            text(&attempt["upstream"]),
            attempt["result"]
        );
    }
    for note in list(&trace["notes"]) {
        println!("  note      {}", text(note));
    }
    println!("  end       {}", trace["end"]);
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}
