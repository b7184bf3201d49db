//! Plug-in that follows the configuration stream of the log.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::config::{ConfigFold, ConfigVerdict, RecordOutcome};
use ferry_platform::log::LogRecord;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{CONFIG_STREAM, catch_up, config_loader, snapshot_writer};
use crate::core::RouterCore;
use crate::peer::PeerTopic;
use crate::plugin::RouterPlugin;

/// Longest time that one read waits for a record; well below the freshness.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Records asked for in one read.
const READ_BATCH: usize = 500;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

inventory::submit! {
    RouterPlugin {
        name: "config",
        topics: &[PeerTopic::Config],
        start,
        on_message: catch_up::on_message,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    core.spawn(follow(Arc::clone(core)));
    core.spawn(catch_up::run(Arc::clone(core)));
    core.spawn(snapshot_writer::run(Arc::clone(core)));
}

async fn follow(core: Arc<RouterCore>) {
    let mut wait = Duration::ZERO;
    loop {
        if follow_once(&core, wait).await {
            wait = READ_WAIT;
        } else {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Reads on from the fold's position, waiting up to `wait` for a record; returns whether the read
/// succeeded.
async fn follow_once(core: &RouterCore, wait: Duration) -> bool {
    let from = core.config.mark().next_offset;
    let asked = core.clock.now();
    let answer = match core.log.read(CONFIG_STREAM, from, READ_BATCH, wait).await {
        Ok(answer) => answer,
        Err(error) => {
            metrics::counter!("ferry_config_read_failures_total").increment(1);
            spdlog::debug!("configuration not read", kv: { error = error.to_string() });
            core.lease.log_failed();
            return false;
        }
    };
    core.config.note_bounds(answer.earliest, answer.next);
    core.lease.log_read(asked, answer.next);
    if answer.earliest > from {
        return reload(core).await;
    }
    for record in &answer.records {
        fold_record(core, record);
    }
    true
}

/// Starts over from a snapshot, since retention has passed the fold's position.
async fn reload(core: &RouterCore) -> bool {
    match config_loader::load(&core.log).await {
        Ok(loaded) => adopt(core, loaded.fold, &loaded.records),
        Err(error) => {
            spdlog::error!("configuration not loaded", kv: { error = error.to_string() });
            false
        }
    }
}

/// Puts a state in force that is further on; returns whether it is.
pub fn adopt(core: &RouterCore, fold: ConfigFold, records: &[LogRecord]) -> bool {
    let is_newer = core.config.adopt(fold, records);
    if is_newer {
        advance(core);
    }
    is_newer
}

/// Folds one record and lets the other routers know.
pub fn fold_record(core: &RouterCore, record: &LogRecord) {
    let before = core.config.mark().next_offset;
    let outcome = core.config.apply(record);
    report(record.offset, &outcome);
    if let RecordOutcome::Change(..) | RecordOutcome::Tripped(_) = outcome {
        core.members.follow_spread(record.offset);
    }
    if core.config.mark().next_offset > before {
        advance(core);
    }
}

/// Tells the lease and the neighbours how far the configuration is.
fn advance(core: &RouterCore) {
    core.lease.advance(core.config.mark().next_offset);
    core.members.wake();
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
