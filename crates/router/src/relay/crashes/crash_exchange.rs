//! Exchange of the crash count with the other routers, through a topic of the store.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::quarantine::{CrashRow, CrashSubject, RowOrigin};
use ferry_decisions::topic::TopicPosition;
use ferry_platform::store::{
    AppendCondition, KeyedRecord, StoreError, TopicPartition, encode_keyed,
};
use tokio::time::{sleep, timeout};

use super::crash_report::{exchange_with_some, exchange_with_sources, report_to_source};
use crate::relay::fleet::{read_record, wait_for_routers, write_body};
use crate::relay::relay_core::SharedCore;
use crate::relay::watch::{OutageLog, TopicReader};

/// Topic of the rows, which the store keeps until they are removed.
const CRASH_TOPIC: &str = "keyed.crashes";
/// Its only partition.
const CRASHES: TopicPartition<'static> = TopicPartition::only(CRASH_TOPIC);
/// Time for which a read waits for new rows; a connection that went silent is noticed after it.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Time over which crashes are collected for one append or message.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// The same for appends that complete no quarantine: most requests that meet a crash did not cause it.
const SINGLE_CRASH_BATCH_TIME: Duration = Duration::from_secs(1);
/// Delay after a read.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Delay after a failed call, and after rows were then exchanged with other routers.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Number of routers that new crashes of this router are sent to while they cannot be stored; they pass them on to one
/// router after each delay.
const NEWS_FANOUT: usize = 8;
/// Number of routers that are asked for crashes at the start.
const START_FANOUT: usize = 8;
/// Time for which their answers are waited for.
const START_TIMEOUT: Duration = Duration::from_millis(600);
/// Period of the checks for requests whose crashes are long ago.
const EXPIRY_PERIOD: Duration = Duration::from_secs(30);

/// Follows the rows in the store while this router reads it, until the relay closes.
pub async fn follow(core: SharedCore) {
    let reader = TopicReader::new(core.store.clone(), CRASH_TOPIC);
    let mut outages = OutageLog::new(
        "the crashes of requests cannot be read from the store; retrying",
        "the crashes of requests are read from the store again",
    );
    loop {
        core.fleet.wait_until(|state| state.is_own_reader()).await;
        // While the store fails, reads do not wait, so that its recovery is noticed soon.
        let wait = match outages.is_failing() {
            true => Duration::ZERO,
            false => READ_WAIT,
        };
        let known_keys = core.crashes.subject_count();
        match reader.next(&core.crash_topic, known_keys, wait).await {
            Ok(changes) => {
                outages.record_success();
                let rows = changes.records.iter().filter_map(decode_row).collect();
                apply_synced(&core, Some(changes.position), rows);
                if changes.reaches_end {
                    sleep(READ_INTERVAL).await;
                }
            }
            Err(error) => {
                outages.record_failure(&error);
                exchange_with_some(&core, 1).await;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Asks other routers, after the start, for rows that may not be in the store.
pub async fn ask_at_start(core: SharedCore) {
    wait_for_routers(&core).await;
    let asking = exchange_with_sources(&core, START_FANOUT);
    if timeout(START_TIMEOUT, asking).await.is_err() {
        spdlog::info!("not all routers that were asked for crashes at the start answered in time", kv: {
            routers = core.fleet.router_count(),
        });
    }
    core.crashes.record_asked_others();
}

/// Stores the rows of this router and of those that sync from it, until the relay closes.
pub async fn publish(core: SharedCore) {
    let mut outages = OutageLog::new(
        "the crashes of requests cannot be stored; sent to other routers instead",
        "the crashes of requests are stored again",
    );
    let mut last_sent = Vec::new();
    loop {
        core.crashes.wait_for_unstored().await;
        core.fleet.wait_until_unsynced().await;
        let urgent = timeout(SINGLE_CRASH_BATCH_TIME, core.crashes.wait_for_urgent()).await;
        if urgent.is_ok() {
            sleep(BATCH_TIME).await;
        }
        if core.fleet.is_synced_from_peer() {
            // Lost for a moment only: the source stores them.
            continue;
        }
        let rows = core.crashes.unstored();
        if !core.fleet.sync_state().is_reader {
            share_unstored(&core, rows, &mut last_sent).await;
            continue;
        }
        match append(&core, &rows).await {
            Ok(()) => {
                outages.record_success();
                core.crashes.mark_stored(&rows);
                core.fleet
                    .feed
                    .put_crashes(&core.crashes.near_rows_of(&subjects_of(&rows)));
                if urgent.is_ok() {
                    core.fleet.feed.wake();
                }
            }
            Err(error) => {
                outages.record_failure(&error);
                share_unstored(&core, rows, &mut last_sent).await;
            }
        }
    }
}

/// Sends `rows`, which cannot be stored, to other routers: to several if they have new ones of this router beside `last_sent`.
async fn share_unstored(core: &SharedCore, rows: Vec<CrashRow>, last_sent: &mut Vec<CrashRow>) {
    let own = rows.into_iter().filter(|row| core.crashes.is_own(row));
    let own: Vec<CrashRow> = own.collect();
    let routers = match own == *last_sent {
        true => 1,
        false => NEWS_FANOUT,
    };
    exchange_with_some(core, routers).await;
    *last_sent = own;
    sleep(RETRY_DELAY).await;
}

/// Exchanges rows with another router while neither the store nor a sync source gives this one recent content, until the relay closes.
pub async fn exchange_while_lacking(core: SharedCore) {
    loop {
        core.fleet.wait_until(|state| state.is_lacking()).await;
        sleep(RETRY_DELAY).await;
        exchange_with_some(&core, 1).await;
    }
}

/// Sends rows that may not be in the store to the router that this one syncs from, each version once, until the relay closes.
pub async fn report(core: SharedCore) {
    loop {
        core.crashes.wait_for_report().await;
        sleep(BATCH_TIME).await;
        report_to_source(&core).await;
    }
}

/// Removes requests whose crashes are long ago, here and in the store, until the relay closes.
pub async fn expire(core: SharedCore) {
    loop {
        sleep(EXPIRY_PERIOD).await;
        let keys = core.crashes.expire();
        core.fleet.feed.remove_crashes(&keys);
        if keys.is_empty() || !core.fleet.sync_state().is_own_reader() {
            continue;
        }
        let removals = keys
            .iter()
            .filter_map(|key| encode_keyed(&key.to_string(), &[]));
        let removals: Vec<Vec<u8>> = removals.collect();
        let records = removals.iter().map(|record| &record[..]);
        let removed = core.store.append(CRASHES, records, AppendCondition::None);
        if let Err(error) = removed.await {
            // They stay in the store until a router that lists the topic finds them expired.
            spdlog::info!("old crashes could not be removed from the store: {}", error, kv: { rows = keys.len() });
        }
    }
}

/// Merges rows that are in the store, where they are known up to `position`, and passes on to the routers that sync from this one
/// those that matter to them.
pub fn apply_synced(core: &SharedCore, position: Option<TopicPosition>, rows: Vec<CrashRow>) {
    let subjects = subjects_of(&rows);
    let enters_era = position.is_some_and(|position| core.crash_topic.enters_era(position));
    let quarantines = match enters_era {
        true => core.crashes.begin_era(rows),
        false => core.crashes.merge(rows, RowOrigin::Store),
    };
    core.fleet
        .feed
        .put_crashes(&core.crashes.near_rows_of(&subjects));
    // Stated to other routers only from now on, when they get the rows before it too.
    if let Some(position) = position {
        core.crash_topic.advance(position);
    }
    if quarantines {
        core.fleet.feed.wake();
    }
}

fn subjects_of(rows: &[CrashRow]) -> BTreeSet<CrashSubject> {
    rows.iter().map(|row| row.key.subject).collect()
}

async fn append(core: &SharedCore, rows: &[CrashRow]) -> Result<(), StoreError> {
    let records: Vec<Vec<u8>> = rows.iter().filter_map(encode_row).collect();
    if records.is_empty() {
        return Ok(());
    }
    let records = records.iter().map(|record| &record[..]);
    let appended = core.store.append(CRASHES, records, AppendCondition::None);
    appended.await.map(|_| ())
}

fn encode_row(row: &CrashRow) -> Option<Vec<u8>> {
    let value: Bytes = write_body(row, "a row of crashes")?;
    encode_keyed(&row.key.to_string(), &value)
}

/// Decodes a row; `None` for a removed one.
fn decode_row(record: &KeyedRecord) -> Option<CrashRow> {
    let value = record.value.as_ref()?;
    read_record(value, "row of crashes", record.offset)
}
