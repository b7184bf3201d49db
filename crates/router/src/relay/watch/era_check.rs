//! Asks other routers, in each era of the store, for newer facts than the store may hold.
//!
//! A store that came back from an older copy holds rules that were replaced, and entries of upstreams that have left. Routers that ran meanwhile
//! know better; one that starts, or was cut off, learns it here before what it read counts as confirmed.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::revision::{EraCheck, EraRound, EraStep};
use ferry_decisions::topic::StoreEra;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout_at};

use super::rules_query::{RulesQuery, ask};
use super::upstream_watch::apply_left;
use crate::relay::evacuation::{RecentEnds, learn_recent};
use crate::relay::fleet::wait_for_routers;
use crate::relay::relay_core::SharedCore;

/// Number of routers that are asked in one round.
const ASKED_ROUTERS: usize = 8;
/// Time for which a first answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which the others are waited for after it: routers that have ended give none.
const SPREAD_TIME: Duration = Duration::from_millis(100);
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Checks each era of the store in which the operator's records are confirmed, until the relay closes.
pub async fn follow(core: SharedCore) {
    loop {
        let era = core.operator_topic.wait_for_unchecked_era().await;
        check(&core, era).await;
        core.operator_topic.set_era_checked(era);
    }
}

/// Asks other routers until what the store has in `era` may count.
async fn check(core: &SharedCore, era: StoreEra) {
    let check = EraCheck::begin(era, core.is_in_touch(), core.clock.now());
    wait_for_routers(core).await;
    let mut hosts = first_hosts(core);
    loop {
        let round = ask_all(core, &hosts).await;
        match check.step(round, core.clock.now()) {
            EraStep::Pass => return,
            EraStep::PassUnheard => return log_unheard(core, era),
            EraStep::AskAgain => {
                sleep(ROUND_PAUSE).await;
                hosts = random_hosts(core, ASKED_ROUTERS, &[]);
            }
        }
    }
}

fn log_unheard(core: &SharedCore, era: StoreEra) {
    spdlog::warn!("no router that was there before told whether it knows more than the store; what the store has counts", kv: {
        era = era.0,
        routers = core.fleet.router_count(),
        revision = core.revision_in_force().unwrap_or_default(),
    });
}

/// Routers that read the store for others, and further ones at random.
fn first_hosts(core: &SharedCore) -> Vec<HostName> {
    let settings = core.settings.load_full();
    let mut hosts = core.fleet.order().first_of_zones(&settings.zone);
    hosts.retain(|host| *host != settings.host);
    hosts.truncate(ASKED_ROUTERS);
    let missing = ASKED_ROUTERS - hosts.len();
    let further = random_hosts(core, missing, &hosts);
    hosts.extend(further);
    hosts
}

/// `count` of the registered routers other than this one and `chosen`.
fn random_hosts(core: &SharedCore, count: usize, chosen: &[HostName]) -> Vec<HostName> {
    let own = core.settings.load().host.clone();
    let mut hosts = core.fleet.hosts();
    hosts.retain(|host| *host != own && !chosen.contains(host));
    let drawn = hosts.choose_multiple(&mut rand::rng(), count);
    drawn.cloned().collect()
}

/// Asks `hosts`, and applies what those that answer in time know.
async fn ask_all(core: &SharedCore, hosts: &[HostName]) -> EraRound {
    let asking = hosts.iter().map(async |host| {
        let answer = ask(core, host, RulesQuery::facts(core)).await?;
        apply_left(core, answer.left);
        core.evacuations
            .learn_kept(&answer.kept_evacuations, core.clock.now());
        let recent = RecentEnds {
            evacuations: answer.recent_evacuations,
            is_stated: answer.states_recent,
        };
        learn_recent(core, &recent);
        core.operator_topic.hear(host, answer.revision);
        Some(answer.is_in_touch)
    });
    let mut answers: FuturesUnordered<_> = asking.collect();
    let mut round = EraRound {
        asked: hosts.len(),
        ..EraRound::default()
    };
    let mut until = Instant::now() + ANSWER_TIMEOUT;
    while let Ok(Some(answer)) = timeout_at(until, answers.next()).await {
        let Some(is_in_touch) = answer else {
            continue;
        };
        if round.answered == 0 {
            until = Instant::now() + SPREAD_TIME;
        }
        round.answered += 1;
        round.informed += usize::from(is_in_touch);
    }
    round
}
