//! Direct exchange of crash counts between two routers: at once with the router that this one syncs from, and with
//! others while the store can't be used.

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

/// Rows that one router sends to another.
#[derive(Debug, Serialize, Deserialize)]
struct CrashReport {
    /// Rows that may not be in the store yet.
    unstored: Vec<CrashRow>,
    /// Whether the sender needs the other router's rows.
    wants_rows: bool,
}

/// Answer to a report; without rows if they were not wanted.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ReportAnswer {
    /// Rows that the answering router knows to be in the store, of subjects that one more crash may quarantine.
    stored: Vec<CrashRow>,
    /// Rows that may not be in the store yet.
    unstored: Vec<CrashRow>,
}

/// Exchanges rows with `count` of the other registered routers, chosen at random.
pub async fn exchange_with_some(core: &SharedCore, count: usize) {
    let own = core.settings.load().host.clone();
    let mut others = core.fleet.hosts();
    others.retain(|host| *host != own);
    let chosen: Vec<HostName> = others
        .choose_multiple(&mut rand::rng(), count)
        .cloned()
        .collect();
    exchange_with(core, chosen).await;
}

/// Exchanges rows with `count` of the routers that read the store for others, which know the rows of those that sync from them.
pub async fn exchange_with_sources(core: &SharedCore, count: usize) {
    let settings = core.settings.load_full();
    let mut hosts = core.fleet.order().first_of_zones(&settings.zone);
    hosts.retain(|host| *host != settings.host);
    hosts.truncate(count);
    exchange_with(core, hosts).await;
}

async fn exchange_with(core: &SharedCore, hosts: Vec<HostName>) {
    let exchanges = hosts.into_iter().map(|host| {
        let report = CrashReport {
            unstored: core.crashes.news(),
            wants_rows: true,
        };
        send_report(core, host, report)
    });
    join_all(exchanges).await;
}

/// Sends rows that it has not received yet to the router that this one syncs from, if there is one; its rows come with the feed.
pub async fn report_to_source(core: &SharedCore) {
    let Some(host) = core.fleet.sync_source() else {
        return;
    };
    let report = CrashReport {
        unstored: core.crashes.unreported(&host),
        wants_rows: false,
    };
    if !report.unstored.is_empty() {
        send_report(core, host, report).await;
    }
}

async fn send_report(core: &SharedCore, host: HostName, report: CrashReport) {
    let Some(hub) = core.fleet.hub() else {
        return;
    };
    let answer: Result<ReportAnswer, _> = hub
        .send_query(&host, PeerTopic::Quarantine, &report, EXCHANGE_TIMEOUT)
        .await;
    match answer {
        Ok(answer) => {
            core.crashes.record_report(&host, &report.unstored);
            core.crashes.merge(answer.stored, RowOrigin::Store);
            core.crashes.merge(answer.unstored, RowOrigin::Router);
        }
        Err(error) => {
            spdlog::info!("crashes could not be exchanged with another router: {}", error, kv: {
                router = host.as_str(),
                rows = report.unstored.len(),
            });
        }
    }
}

/// Merges another router's rows, and answers with the rows known here that matter to it if it wants them.
pub fn answer_report(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let report: CrashReport = read_body(message, "report")?;
    core.crashes.merge(report.unstored, RowOrigin::Router);
    let answer = match report.wants_rows {
        true => ReportAnswer {
            stored: core.crashes.near_rows(),
            unstored: core.crashes.news(),
        },
        false => ReportAnswer::default(),
    };
    write_body(&answer, "an answer to a router")
}
