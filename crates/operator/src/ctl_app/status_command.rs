//! `ferryctl status`: shows the status of every router.

use ferry_router::admin::RouterStatus;
use serde_json::json;

use super::{CtlError, table};
use crate::fleet::{FleetClient, RouterAnswer};

/// Number of leading digits of a configuration hash shown in the table.
const HASH_DIGITS: usize = 12;

/// Prints the status of every router; fails when none answers.
pub async fn run(fleet: &FleetClient, json: bool) -> Result<u8, CtlError> {
    let answers = fleet.statuses().await;
    if json {
        println!("{}", json!(json_list(&answers)));
    } else {
        let headers = ["HOST", "ZONE", "PHASE", "CONFIG", "HASH", "WORK", "ADMITS"];
        let rows: Vec<_> = answers.iter().map(row).collect();
        table::print(&headers, &rows);
    }
    if answers.iter().all(|router| router.answer.is_err()) {
        return Err(CtlError::NoAnswer(
            "no router answered; check the addresses and the admin token in the settings"
                .to_owned(),
        ));
    }
    Ok(0)
}

fn row(router: &RouterAnswer<RouterStatus>) -> Vec<String> {
    let host = router.host.clone();
    match &router.answer {
        Ok(status) => vec![
            host,
            status.zone.to_string(),
            json!(status.phase).as_str().unwrap_or_default().to_owned(),
            status.config.next_offset.to_string(),
            status.config.hash.chars().take(HASH_DIGITS).collect(),
            status.in_progress.to_string(),
            status
                .lease_problem
                .clone()
                .unwrap_or_else(|| "yes".to_owned()),
        ],
        Err(error) => vec![host, error.to_string()],
    }
}

fn json_list(answers: &[RouterAnswer<RouterStatus>]) -> Vec<serde_json::Value> {
    let entry = |router: &RouterAnswer<RouterStatus>| match &router.answer {
        Ok(status) => json!({ "host": router.host, "status": status }),
        Err(error) => json!({ "host": router.host, "error": error.to_string() }),
    };
    answers.iter().map(entry).collect()
}
