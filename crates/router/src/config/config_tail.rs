//! Plug-in that follows the configuration stream.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::config::{ConfigVerdict, RecordOutcome};
use ferry_platform::log::ReadAnswer;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{CONFIG_STREAM, config_loader};
use crate::core::RouterCore;
use crate::plugin::{RouterPlugin, no_messages};

/// Longest time that one read waits for a record; well below the freshness.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Records asked for in one read.
const READ_BATCH: usize = 500;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

inventory::submit! {
    RouterPlugin {
        name: "config",
        topics: &[],
        start,
        on_message: no_messages,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    tokio::spawn(
        core.closing
            .clone()
            .run_until_cancelled_owned(follow(Arc::clone(core))),
    );
}

async fn follow(core: Arc<RouterCore>) {
    loop {
        if !follow_once(&core).await {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Reads on from the fold's position; returns whether the read succeeded.
async fn follow_once(core: &RouterCore) -> bool {
    let from = core.config.status().next_offset;
    let asked = Instant::now();
    let wait = if from == 0 { Duration::ZERO } else { READ_WAIT };
    let answer = match core.log.read(CONFIG_STREAM, from, READ_BATCH, wait).await {
        Ok(answer) => answer,
        Err(error) => {
            metrics::counter!("ferry_config_read_failures_total").increment(1);
            spdlog::debug!("configuration not read", kv: { error = error.to_string() });
            return false;
        }
    };
    if answer.earliest > from {
        return reload(core).await;
    }
    fold_records(core, &answer);
    if core.config.status().next_offset >= answer.next {
        core.lease.log_read(asked);
    }
    true
}

/// Starts over from a snapshot, since retention has passed the fold's position.
async fn reload(core: &RouterCore) -> bool {
    match config_loader::load(&core.log).await {
        Ok(fold) => core.config.adopt(fold),
        Err(error) => {
            spdlog::error!("configuration not loaded", kv: { error = error.to_string() });
            false
        }
    }
}

fn fold_records(core: &RouterCore, answer: &ReadAnswer) {
    for record in &answer.records {
        let outcome = core.config.apply(record.offset, record.data.as_bytes());
        report(record.offset, &outcome);
    }
}

fn report(offset: u64, outcome: &RecordOutcome) {
    match outcome {
        RecordOutcome::Change(id, ConfigVerdict::Accepted) => {
            spdlog::info!("change accepted", kv: { offset = offset, change = id.to_string() });
        }
        RecordOutcome::Change(id, verdict) => {
            let verdict = format!("{verdict:?}");
            spdlog::warn!("change refused", kv: { offset = offset, change = id.to_string(), verdict = verdict });
        }
        RecordOutcome::Tripped(trip) => {
            spdlog::warn!("roll-out tripped", kv: { offset = offset, version = trip.version.as_str() });
        }
        RecordOutcome::SnapshotMismatch(snapshot) => {
            metrics::counter!("ferry_config_hash_mismatches_total").increment(1);
            spdlog::error!("configuration differs from a snapshot", kv: { offset = offset, as_of = snapshot.as_of });
        }
        RecordOutcome::Foreign(reason) => {
            metrics::counter!("ferry_config_foreign_records_total").increment(1);
            spdlog::warn!("record is not a configuration record", kv: { offset = offset, reason = reason.as_str() });
        }
        RecordOutcome::TripIgnored
        | RecordOutcome::SnapshotSeen
        | RecordOutcome::Repeated
        | RecordOutcome::Gap { .. } => {}
    }
}

fn view(core: &RouterCore) -> Value {
    json!(core.config.status())
}
