//! Follows the configuration and the orders of the operator.

use std::sync::Arc;
use std::time::Duration;

use ferry_kernel::http::ServerLimits;
use ferry_platform::entries::{CONFIG_KEY, decode_order, decode_rules, order_service};
use ferry_platform::store::{KeyedRecord, OPERATOR_TOPIC};
use tokio::time::sleep;

use super::LossNote;
use super::topic_reader::{TopicChanges, TopicReader};
use crate::relay::relay_core::SharedCore;
use crate::relay::store_contact::StoreContact;

/// Longest wait of one read; the rules are confirmed at least this often.
const READ_WAIT: Duration = Duration::from_millis(550);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the operator's topic until the relay closes.
pub async fn follow(core: SharedCore) {
    let mut reader = TopicReader::new(core.store.clone(), OPERATOR_TOPIC);
    let mut note = LossNote::new(
        "the operator's topic cannot be read",
        "the operator's topic is read again",
    );
    loop {
        core.fleet.unfed().await;
        let asked = StoreContact::now();
        // A lost store is asked without a wait, so that its return is seen soon.
        let wait = if note.is_lost() {
            Duration::ZERO
        } else {
            READ_WAIT
        };
        match reader.next(wait).await {
            Ok(changes) => {
                let confirmed = confirmed_at(asked, &changes);
                apply(&core, changes.records);
                core.contact.confirm(confirmed);
                note.regain();
            }
            Err(error) => {
                note.lose(&error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Moment at which the store certainly held nothing newer than what was read.
///
/// An empty answer comes only after the whole wait; any other one may have been under way since
/// the question.
fn confirmed_at(asked: Duration, changes: &TopicChanges) -> Duration {
    let waited = StoreContact::now().saturating_sub(asked) >= READ_WAIT;
    if waited && !changes.whole && changes.records.is_empty() {
        return asked + READ_WAIT;
    }
    asked
}

/// Puts records of the operator in force, and tells them to the routers that ask.
pub fn apply(core: &SharedCore, records: Vec<KeyedRecord>) {
    for record in records {
        core.fleet.feed.put_operator(&record);
        let KeyedRecord { key, value, offset } = record;
        let service = order_service(&key);
        match (service, value) {
            (Some(service), Some(value)) => match decode_order(&value) {
                Ok(order) => core.rollouts.apply_order(order, offset, core.clock.now()),
                Err(error) => spdlog::error!("the order for {} is ignored: {}", service, error),
            },
            (Some(service), None) => core.rollouts.remove_order(&service),
            (None, Some(value)) if key == CONFIG_KEY => apply_rules(core, &value),
            (None, _) => {}
        }
    }
}

/// Puts a configuration in force unless a newer one is.
fn apply_rules(core: &SharedCore, value: &[u8]) {
    let rules = match decode_rules(value) {
        Ok(rules) => rules,
        Err(error) => {
            spdlog::error!("a configuration is ignored: {}", error);
            return;
        }
    };
    let held = core.rules.load().as_ref().map(|held| held.revision);
    if held.is_some_and(|held| held >= rules.revision) {
        return;
    }
    spdlog::info!("configuration in force", kv: {
        revision = rules.revision,
        replaced = held.unwrap_or_default(),
        rules = rules.rule_count(),
    });
    core.caller_limits.set(ServerLimits {
        head_bytes: rules.limits.head_bytes,
        head_wait: rules.limits.idle_time,
    });
    core.rules.store(Some(Arc::new(rules)));
}
