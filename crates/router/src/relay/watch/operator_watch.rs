//! Follows the operator's topic: the configuration, the roll-out orders and the evacuations.

use std::time::Duration;

use ferry_decisions::topic::{StoreEra, TopicPosition};
use ferry_platform::entries::{CONFIG_KEY, decode_order, service_of_rollout_key};
use ferry_platform::store::{KeyedRecord, OPERATOR_TOPIC, StoreError};
use tokio::time::sleep;

use super::OutageLog;
use super::rules_update::apply_newest;
use super::topic_reader::{TopicChanges, TopicReader};
use super::upstream_watch;
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::relay_core::SharedCore;

/// Time for which a read waits for new records; the rules are confirmed at least this often.
const READ_WAIT: Duration = Duration::from_millis(550);
/// Delay after a failed read, and its maximum after several.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
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
        let listed_to = changes.whole.then_some(changes.position.offset);
        apply(core, changes.position.era, listed_to, changes.records);
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
    apply(core, era, None, records);
    if let Some(position) = position {
        core.operator_topic.advance(position);
    }
}

/// Applies records of the operator that the store gave out in `era`, and publishes them to the routers that sync from this one; `listed_to` is
/// the end of the topic if they are all that it holds.
///
/// Evacuations come first: rules of the same records must not send a request to a zone that they evacuate.
fn apply(core: &SharedCore, era: StoreEra, listed_to: Option<u64>, mut records: Vec<KeyedRecord>) {
    let now = core.clock.now();
    let removals = core.evacuations.apply(era, listed_to, &records, now);
    records.extend(removals);
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
            (None, Some(value)) if key == CONFIG_KEY => apply_newest(core, value),
            (None, _) => {}
        }
    }
}
