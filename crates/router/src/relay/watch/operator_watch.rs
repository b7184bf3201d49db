//! Follows the operator's topic: the configuration and the roll-out orders.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::topic::{StoreEra, TopicPosition};
use ferry_kernel::http::ServerLimits;
use ferry_platform::entries::{
    CONFIG_KEY, ConfigPart, UnreadablePart, decode_order, decode_rules, service_of_rollout_key,
};
use ferry_platform::store::{KeyedRecord, OPERATOR_TOPIC, StoreError};
use tokio::time::sleep;

use super::OutageLog;
use super::topic_reader::{TopicChanges, TopicReader};
use super::upstream_watch;
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::relay_core::SharedCore;
use crate::relay::rules_record::RulesRecord;

/// Time for which a read waits for new records; the rules are confirmed at least this often.
const READ_WAIT: Duration = Duration::from_millis(550);
/// Delay after a failed read, and its maximum after several.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Most parts of one configuration that are logged; the metric counts all.
const LOGGED_PARTS: usize = 10;
/// Metric: parts of the newest configuration that cannot be read, by kind; the kind `configuration` for all of it.
const UNREADABLE_METRIC: &str = "ferry_unreadable_entries";
/// Metric: revision of the configuration in force.
const REVISION_METRIC: &str = "ferry_rules_revision";
/// Delay after a list of all keys, which follows each change while the store keeps no history.
const LIST_DELAY: Duration = Duration::from_millis(100);

/// Follows the operator's topic while this router reads the store, until the relay closes.
pub async fn follow(core: SharedCore) {
    let reader = TopicReader::new(core.store.clone(), OPERATOR_TOPIC);
    let mut outages = OutageLog::new(
        "the operator's topic cannot be read",
        "the operator's topic is read again",
    );
    let mut delay = MIN_RETRY_DELAY;
    loop {
        core.fleet.wait_until_reader().await;
        // While the store fails, reads do not wait, so that its recovery is noticed soon.
        let wait = if outages.is_failing() {
            Duration::ZERO
        } else {
            READ_WAIT
        };
        match read_operator(&core, &reader, wait).await {
            Ok(()) => {
                outages.record_success();
                delay = MIN_RETRY_DELAY;
                let period = upstream_watch::read_period(&core);
                core.fleet.record_operator_read(period, core.clock.now());
            }
            Err(error) => {
                outages.record_failure(&error);
                sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Reads the operator's topic once, for which it waits up to `wait` for a record, and applies what it holds.
///
/// # Errors
///
/// Fails when the store does not answer.
pub async fn read_operator(
    core: &SharedCore,
    reader: &TopicReader,
    wait: Duration,
) -> Result<(), StoreError> {
    let requested_at = ConfirmationTime::now();
    let known_keys = core.fleet.feed.operator_keys();
    let changes = reader
        .next(core.operator_topic.topic(), known_keys, wait)
        .await?;
    let confirmed = confirmed_at(requested_at, wait, &changes);
    let is_repeated = changes.whole;
    if !core.operator_topic.is_beyond(Some(changes.position)) {
        apply(core, changes.position.era, changes.records);
        core.operator_topic.advance(changes.position);
    }
    if let Some(moment) = confirmed {
        core.operator_topic.confirm(changes.position.era, moment);
    }
    if is_repeated {
        sleep(LIST_DELAY).await;
    }
    Ok(())
}

/// Latest moment at which the store certainly held nothing newer than the records that were read; `None` if the read ended before
/// the end of the topic.
///
/// An empty response is sent only at the end of `wait`. Any other response may have been on its way
/// since the request, so that only the time of the request is certain.
fn confirmed_at(
    requested_at: Duration,
    wait: Duration,
    changes: &TopicChanges,
) -> Option<Duration> {
    let waited = !changes.whole && changes.records.is_empty();
    let moment = match waited {
        true => requested_at + wait,
        false => requested_at,
    };
    changes.reaches_end.then_some(moment)
}

/// Applies records received from another router, which knows the topic up to `position`; older ones than those known here are ignored.
pub fn apply_synced(core: &SharedCore, position: Option<TopicPosition>, records: Vec<KeyedRecord>) {
    if core.operator_topic.is_beyond(position) {
        return;
    }
    let known = core.operator_topic.position();
    let era = position.or(known).unwrap_or_default().era;
    apply(core, era, records);
    if let Some(position) = position {
        core.operator_topic.advance(position);
    }
}

/// Applies records of the operator that the store gave out in `era`, and publishes them to the routers that sync from this one.
fn apply(core: &SharedCore, era: StoreEra, records: Vec<KeyedRecord>) {
    core.fleet.feed.put_operator(era, &records);
    for record in records {
        let KeyedRecord { key, value, offset } = record;
        let service = service_of_rollout_key(&key);
        match (service, value) {
            (Some(service), Some(value)) => match decode_order(&value) {
                Ok(order) => {
                    let position = TopicPosition::new(era, offset);
                    core.rollouts.apply_order(order, position, core.clock.now());
                }
                Err(error) => spdlog::error!(
                    "invalid roll-out order for service {} ignored: {}",
                    service,
                    error
                ),
            },
            (Some(service), None) => core.rollouts.remove_order(&service),
            (None, Some(value)) if key == CONFIG_KEY => apply_rules(core, value),
            (None, _) => {}
        }
    }
}

/// Shows which parts of the configuration in force cannot be read.
fn show_unreadable(parts: &[UnreadablePart]) {
    for kind in ConfigPart::ALL {
        let count = parts.iter().filter(|part| part.kind == kind).count();
        set_unreadable_count(kind.name(), count);
    }
    for part in parts.iter().take(LOGGED_PARTS) {
        spdlog::error!("part of the configuration not applied: {}", part.error, kv: {
            kind = part.kind.name(),
            index = part.index,
            parts = parts.len(),
        });
    }
}

/// Shows how many parts of this `kind` of the newest configuration cannot be read.
fn set_unreadable_count(kind: &'static str, count: usize) {
    metrics::gauge!(UNREADABLE_METRIC, "kind" => kind).set(count as f64);
}

/// Puts a configuration in force unless its revision is not newer than the one in force.
///
/// While the newest one cannot be read, the one in force is confirmed no more, so that requests are refused once it may be out of date.
pub(super) fn apply_rules(core: &SharedCore, value: Bytes) {
    let decoded = decode_rules(&value);
    core.operator_topic.set_unreadable(decoded.is_err());
    let decoded = match decoded {
        Ok(decoded) => decoded,
        Err(error) => {
            set_unreadable_count("configuration", 1);
            spdlog::error!(
                "configuration not applied, and none confirmed until one can be read: {}",
                error
            );
            return;
        }
    };
    set_unreadable_count("configuration", 0);
    let rules = decoded.rules;
    // Held until the rules are in force: others may come at the same time from the store, the sync source, and another router.
    let mut record = core.rules_record.lock();
    let current = core.revision_in_force();
    if current.is_some_and(|current| current >= rules.revision) {
        return;
    }
    spdlog::info!("configuration in force", kv: {
        revision = rules.revision,
        replaced = current.unwrap_or_default(),
        era = core.store.eras().newest().0,
        rules = rules.rule_count(),
        keys:? = rules.key_count(),
    });
    metrics::gauge!(REVISION_METRIC).set(rules.revision as f64);
    show_unreadable(&decoded.unreadable);
    core.caller_limits.set(ServerLimits {
        head_bytes: rules.limits.head_bytes,
        head_timeout: rules.limits.idle_time,
    });
    *record = RulesRecord::new(value);
    let revision = rules.revision;
    core.rules.store(Some(Arc::new(rules)));
    core.operator_topic.apply(revision);
}
