//! `ferryctl explain`: shows what was decided about a request.

use serde_json::{Value, json};

use super::CtlError;
use crate::fleet::FleetClient;

/// Shows the trails of `request` from all routers that keep one.
pub async fn run(fleet: &FleetClient, request: &str, json: bool) -> Result<u8, CtlError> {
    let trails = fleet.trails(request).await;
    if trails.is_empty() {
        return Err(CtlError::NoAnswer(format!(
            "no router keeps a trail of {request}; trails are kept for the latest requests of each router only"
        )));
    }
    for (host, trail) in &trails {
        if json {
            println!("{}", json!({ "host": host, "trail": trail }));
        } else {
            show(host, trail);
        }
    }
    Ok(0)
}

fn show(host: &str, trail: &Value) {
    println!(
        "{} of {} for {}, on {host}, configuration before offset {}",
        text(&trail["request"]),
        text(&trail["workspace"]),
        text(&trail["target"]),
        trail["config_offset"]
    );
    for excluded in list(&trail["excluded"]) {
        println!(
            "  not used  {}: {}",
            text(&excluded["version"]),
            text(&excluded["reason"])
        );
    }
    for attempt in list(&trail["attempts"]) {
        println!(
            "  stage {}   {} on {}: {}",
            attempt["stage"],
            text(&attempt["version"]),
            text(&attempt["upstream"]),
            attempt["result"]
        );
    }
    for note in list(&trail["notes"]) {
        println!("  note      {}", text(note));
    }
    println!("  end       {}", trail["end"]);
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}
