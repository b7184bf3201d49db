//! Asks other routers, in each era of the store, whether they have newer rules in force than the store.
//!
//! A store that came back from an older copy holds rules that were replaced. Routers that ran meanwhile keep the later ones in force; one that starts,
//! or was cut off, learns them here before what it read counts as confirmed.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use futures::future::join_all;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::operator_watch::apply_rules;
use crate::peer::{PeerMessage, PeerTopic};
use crate::relay::fleet::{read_body, wait_for_routers, write_body};
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Number of routers that are asked.
const ASKED_ROUTERS: usize = 8;
/// Time for which their answers are waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for fetching rules, which may be large.
const RULES_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of rounds while no router answers.
const MAX_ROUNDS: usize = 3;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// A question about the rules in force at another router.
#[derive(Debug, Serialize, Deserialize)]
struct RulesQuery {
    /// Whether the answer is to contain the rules.
    wants_rules: bool,
}

/// Answer to it.
#[derive(Debug, Serialize, Deserialize)]
struct RulesAnswer {
    /// Revision in force; absent before rules are in force.
    revision: Option<u64>,
    /// Value of the operator's record, if it was wanted.
    rules: Option<Bytes>,
}

/// Checks each era of the store in which the operator's records are confirmed, until the relay closes.
pub async fn follow(core: SharedCore) {
    loop {
        let era = core.operator_topic.wait_for_unchecked_era().await;
        wait_for_routers(&core).await;
        check(&core).await;
        core.operator_topic.set_era_checked(era);
    }
}

/// Answers the question of another router.
pub fn answer_query(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let query: RulesQuery = read_body(message, "question about rules")?;
    let answer = RulesAnswer {
        revision: revision_in_force(core),
        rules: query.wants_rules.then(|| core.rules_value.lock().clone()),
    };
    write_body(&answer, "an answer to a router")
}

fn revision_in_force(core: &RelayCore) -> Option<u64> {
    core.rules.load().as_ref().map(|rules| rules.revision)
}

/// Asks other routers, and puts the newest rules that one of them has in force, if they are newer than those here.
async fn check(core: &SharedCore) {
    let hosts = asked_hosts(core);
    if hosts.is_empty() {
        return;
    }
    for round in 1..=MAX_ROUNDS {
        let revisions = ask_all(core, &hosts).await;
        if !revisions.is_empty() {
            adopt_newest(core, revisions).await;
            return;
        }
        if round < MAX_ROUNDS {
            sleep(ROUND_PAUSE).await;
        }
    }
    spdlog::warn!("no router answered whether it has newer rules in force; those of the store count", kv: {
        asked = hosts.len(),
    });
}

/// Routers that read the store for others, and further ones at random.
fn asked_hosts(core: &SharedCore) -> Vec<HostName> {
    let settings = core.settings.load_full();
    let mut hosts = core.fleet.order().first_of_zones(&settings.zone);
    hosts.truncate(ASKED_ROUTERS);
    let mut others = core.fleet.hosts();
    others.retain(|host| !hosts.contains(host));
    let missing = ASKED_ROUTERS.saturating_sub(hosts.len());
    hosts.extend(others.choose_multiple(&mut rand::rng(), missing).cloned());
    hosts.retain(|host| *host != settings.host);
    hosts
}

/// Revisions in force at those of `hosts` that answer, with the host.
async fn ask_all(core: &SharedCore, hosts: &[HostName]) -> Vec<(Option<u64>, HostName)> {
    let asking = hosts.iter().map(async |host| {
        let asked = timeout(ANSWER_TIMEOUT, ask(core, host, false)).await;
        let answer = asked.ok().flatten()?;
        Some((answer.revision, host.clone()))
    });
    join_all(asking).await.into_iter().flatten().collect()
}

async fn ask(core: &SharedCore, host: &HostName, wants_rules: bool) -> Option<RulesAnswer> {
    let hub = core.fleet.hub()?;
    let query = RulesQuery { wants_rules };
    let answer = hub.send_query(host, PeerTopic::Config, &query, RULES_TIMEOUT);
    answer
        .await
        .inspect_err(|error| {
            spdlog::info!("a router did not tell its rules: {}", error, kv: { router = host.as_str() });
        })
        .ok()
}

/// Fetches rules that are newer than those here, the newest first, until some are in force.
async fn adopt_newest(core: &SharedCore, mut revisions: Vec<(Option<u64>, HostName)>) {
    revisions.sort();
    while let Some((revision, host)) = revisions.pop() {
        let own = revision_in_force(core);
        if revision <= own {
            return;
        }
        spdlog::warn!("another router has newer rules in force than the store", kv: {
            router = host.as_str(),
            revision = revision.unwrap_or_default(),
            own = own.unwrap_or_default(),
        });
        let answer = ask(core, &host, true).await;
        if let Some(rules) = answer.and_then(|answer| answer.rules) {
            apply_rules(core, rules);
        }
    }
}
