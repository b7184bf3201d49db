//! Direct exchange of crash counts between two routers, while the store can't be used.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::{CrashRow, RowOrigin};
use futures::future::join_all;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::peer::{PeerMessage, PeerTopic};
use crate::relay::fleet::{read_body, write_body};
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Timeout of an exchange with one router.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Rows that one router sends to another, as a query or as its answer.
#[derive(Debug, Default, Serialize, Deserialize)]
struct CrashReport {
    /// Rows that the sender knows to be in the store.
    stored: Vec<CrashRow>,
    /// Rows that may not be in the store yet.
    unstored: Vec<CrashRow>,
}

/// Exchanges rows with all other registered routers.
pub async fn exchange_with_all(core: &SharedCore) {
    let own = core.settings.load().host.clone();
    let others = core.fleet.hosts().into_iter().filter(|host| *host != own);
    join_all(others.map(|host| exchange(core, host))).await;
}

/// Exchanges rows with one other registered router, chosen at random.
pub async fn exchange_with_one(core: &SharedCore) {
    let own = core.settings.load().host.clone();
    let mut others = core.fleet.hosts();
    others.retain(|host| *host != own);
    let chosen = others.choose(&mut rand::rng()).cloned();
    if let Some(host) = chosen {
        exchange(core, host).await;
    }
}

async fn exchange(core: &SharedCore, host: HostName) {
    let Some(hub) = core.fleet.hub() else {
        return;
    };
    let query = CrashReport {
        stored: Vec::new(),
        unstored: core.crashes.unstored(),
    };
    let answer: Result<CrashReport, _> = hub
        .send_query(&host, PeerTopic::Quarantine, &query, EXCHANGE_TIMEOUT)
        .await;
    match answer {
        Ok(answer) => apply(core, answer),
        Err(error) => {
            spdlog::info!("crashes could not be exchanged with another router: {}", error, kv: {
                router = host.as_str(),
                rows = query.unstored.len(),
            });
        }
    }
}

/// Applies another router's report, and answers with all rows known here.
pub fn answer_report(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let report: CrashReport = read_body(message, "report")?;
    apply(core, report);
    let unstored = core.crashes.unstored();
    let mut stored = core.crashes.rows();
    stored.retain(|row| !unstored.contains(row));
    write_body(&CrashReport { stored, unstored }, "an answer to a router")
}

fn apply(core: &RelayCore, report: CrashReport) {
    core.crashes.merge(report.stored, RowOrigin::Store);
    core.crashes.merge(report.unstored, RowOrigin::Router);
}
