//! Asks other routers, in each era of the store, for newer facts than the store may hold.
//!
//! A store that came back from an older copy holds rules that were replaced, and entries of upstreams that have left. Routers that ran meanwhile
//! know better; one that starts, or was cut off, learns it here before what it read counts as confirmed.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::registry::LeftUpstream;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout_at};

use super::operator_watch::apply_rules;
use super::upstream_watch::apply_left;
use crate::peer::{PeerError, PeerMessage, PeerTopic};
use crate::relay::fleet::{read_body, wait_for_routers, write_body};
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Number of routers that are asked.
const ASKED_ROUTERS: usize = 8;
/// Time for which a first answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which the others are waited for after it: routers that have ended give none.
const SPREAD_TIME: Duration = Duration::from_millis(100);
/// Timeout for fetching rules, which may be large.
const RULES_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of upstreams that left in one answer.
const MAX_LEFT: usize = 1_000;
/// Time within which another round begins while no router answers.
const PATIENCE: Duration = Duration::from_millis(800);
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// A question about what another router knows.
#[derive(Debug, Serialize, Deserialize)]
struct EraQuery {
    /// Whether the answer is to contain the rules.
    wants_rules: bool,
}

/// Answer to it; empty from a router that knows nothing.
#[derive(Debug, Default, Serialize, Deserialize)]
struct EraAnswer {
    /// Revision in force; absent before rules are in force.
    revision: Option<u64>,
    /// Value of the operator's record, if it was wanted.
    rules: Option<Bytes>,
    /// Upstreams that left; none in an answer with rules.
    left: Vec<LeftUpstream>,
}

/// What a router answered.
struct RouterFacts {
    revision: Option<u64>,
    host: HostName,
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
    let query: EraQuery = read_body(message, "question about an era")?;
    let mut left = match query.wants_rules {
        true => Vec::new(),
        false => core.registry.lock().left(core.clock.now()),
    };
    left.truncate(MAX_LEFT);
    let answer = EraAnswer {
        revision: core.revision_in_force(),
        rules: query.wants_rules.then(|| core.rules_value.lock().clone()),
        left,
    };
    write_body(&answer, "an answer to a router")
}

/// Asks other routers, and puts the newest rules that one of them has in force, if they are newer than those here.
async fn check(core: &SharedCore) {
    let hosts = asked_hosts(core);
    if hosts.is_empty() {
        return;
    }
    let begun_at = Instant::now();
    while begun_at.elapsed() < PATIENCE {
        let answered = ask_all(core, &hosts).await;
        if !answered.is_empty() {
            adopt_newest(core, answered).await;
            return;
        }
        sleep(ROUND_PAUSE).await;
    }
    spdlog::warn!("no router answered whether it knows more than the store; what the store has counts", kv: {
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

/// Asks `hosts`, and applies what those that answer in time know of upstreams; returns the revisions that they have in force.
async fn ask_all(core: &SharedCore, hosts: &[HostName]) -> Vec<RouterFacts> {
    let asking = hosts.iter().map(async |host| {
        let answer = ask(core, host, false).await?;
        apply_left(core, answer.left);
        Some(RouterFacts {
            revision: answer.revision,
            host: host.clone(),
        })
    });
    let mut answers: FuturesUnordered<_> = asking.collect();
    let mut answered = Vec::new();
    let mut until = Instant::now() + ANSWER_TIMEOUT;
    while let Ok(Some(facts)) = timeout_at(until, answers.next()).await {
        if answered.is_empty() && facts.is_some() {
            until = Instant::now() + SPREAD_TIME;
        }
        answered.extend(facts);
    }
    answered
}

async fn ask(core: &SharedCore, host: &HostName, wants_rules: bool) -> Option<EraAnswer> {
    let hub = core.fleet.hub()?;
    let query = EraQuery { wants_rules };
    let answer = hub.send_query(host, PeerTopic::Config, &query, RULES_TIMEOUT);
    match answer.await {
        Ok(answer) => Some(answer),
        // A router of a build that knows no such question: there is nothing to wait for.
        Err(PeerError::Unanswered(_)) => Some(EraAnswer::default()),
        Err(error) => {
            spdlog::info!("a router did not tell what the store may lack: {}", error, kv: { router = host.as_str() });
            None
        }
    }
}

/// Fetches rules that are newer than those here, the newest first, until some are in force.
async fn adopt_newest(core: &SharedCore, mut answered: Vec<RouterFacts>) {
    answered.sort_by_key(|facts| facts.revision);
    while let Some(RouterFacts { revision, host }) = answered.pop() {
        let own = core.revision_in_force();
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
