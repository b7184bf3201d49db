//! Fetches the rules that another router has in force, when they are later than those here and come no other way.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::rules_query::{RulesAnswer, RulesQuery, ask};
use super::rules_update::apply_fetched;
use crate::relay::fleet::decompress;
use crate::relay::relay_core::SharedCore;

/// Time in which a new configuration comes from the store or the sync source, which is waited for first.
const USUAL_TIME: Duration = Duration::from_millis(300);
/// Period of the checks whether it is over.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Pause after an attempt that brought nothing, and its maximum after several.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Metric: attempts to fetch rules from other routers, by outcome.
const FETCHES_METRIC: &str = "ferry_rules_fetches_total";

/// Fetches later rules whenever another router states that it has them, until the relay closes.
pub async fn follow(core: SharedCore) {
    loop {
        core.operator_topic.wait_until_outrun().await;
        fetch_missing(&core).await;
    }
}

/// Asks one of the routers that have the latest rules after the other, until they are in force here or nobody has them any more.
async fn fetch_missing(core: &SharedCore) {
    let mut pause = MIN_RETRY_PAUSE;
    while let Some(revision) = core.operator_topic.missing() {
        if !is_due(core) {
            sleep(CHECK_PERIOD).await;
            continue;
        }
        let holders = core.operator_topic.holders();
        let Some(holder) = holders.choose(&mut rand::rng()) else {
            return;
        };
        spdlog::warn!("another router has later rules in force", kv: {
            router = holder.as_str(),
            revision = revision,
            own = core.revision_in_force().unwrap_or_default(),
            rules_age_ms = core.operator_topic.age().as_millis() as u64,
        });
        let outcome = match fetch(core, holder).await {
            Some(rules) => apply(core, holder, rules),
            None => "failed",
        };
        metrics::counter!(FETCHES_METRIC, "outcome" => outcome).increment(1);
        if core.operator_topic.missing().is_some() {
            sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }
}

/// Whether later rules are asked for now: they did not come in the usual time, or those here serve nobody until then.
fn is_due(core: &SharedCore) -> bool {
    let topic = &core.operator_topic;
    topic.is_outrun_for(USUAL_TIME) || !topic.was_confirmed() || core.has_replaced_rules()
}

/// Puts `rules` of `holder` in force; returns the outcome for the metric.
fn apply(core: &SharedCore, holder: &HostName, rules: Bytes) -> &'static str {
    match apply_fetched(core, rules) {
        Ok(()) => "fetched",
        Err(error) => {
            spdlog::error!("rules of another router cannot be read: {}", error, kv: { router = holder.as_str() });
            "unreadable"
        }
    }
}

/// Value of the operator's record from which `holder` has its rules; `None` if it can't be had.
async fn fetch(core: &SharedCore, holder: &HostName) -> Option<Bytes> {
    let answer = ask(core, holder, RulesQuery::rules(core)).await?;
    let RulesAnswer {
        rules, compressed, ..
    } = answer;
    match compressed {
        Some(compressed) => decompress(&[], &compressed)
            .inspect_err(|error| spdlog::error!("rules of another router cannot be restored: {}", error, kv: { router = holder.as_str() }))
            .ok(),
        None => rules,
    }
}
