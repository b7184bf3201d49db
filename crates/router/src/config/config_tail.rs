//! Plug-in that follows the configuration stream of the log.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::config::{ConfigFold, ConfigVerdict, RecordOutcome};
use ferry_kernel::supervisor::TaskPlan;
use ferry_platform::log::LogRecord;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{CONFIG_STREAM, catch_up, config_loader, snapshot_writer};
use crate::core::RouterCore;
use crate::peer::PeerTopic;
use crate::plugin::RouterPlugin;

/// Longest time that one read waits for a record; well below the freshness limit.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of records requested in one read.
const READ_BATCH: usize = 500;
/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

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
    core.keep(TaskPlan::essential("configuration"), follow);
    core.keep(TaskPlan::essential("configuration of peers"), catch_up::run);
    core.keep(TaskPlan::helper("snapshots"), snapshot_writer::run);
}

async fn follow(core: Arc<RouterCore>) {
    let mut wait = Duration::ZERO;
    loop {
        if follow_once(&core, wait).await {
            wait = READ_WAIT;
        } else {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the records after the fold's position, waiting up to `wait` for one; returns whether the
/// read succeeded.
async fn follow_once(core: &RouterCore, wait: Duration) -> bool {
    let from = core.config.position().next_offset;
    let requested_at = core.clock.now();
    let answer = match core.log.read(CONFIG_STREAM, from, READ_BATCH, wait).await {
        Ok(answer) => answer,
        Err(error) => {
            metrics::counter!("ferry_config_read_failures_total").increment(1);
            spdlog::debug!("cannot read the configuration stream", kv: { error = error.to_string() });
            core.lease.record_log_failure();
            return false;
        }
    };
    core.config.record_bounds(answer.earliest, answer.next);
    core.lease.record_log_read(requested_at, answer.next);
    if answer.earliest > from {
        return reload(core).await;
    }
    for record in &answer.records {
        fold_record(core, record);
    }
    true
}

/// Reloads from a snapshot, since the record at the fold's position has expired.
async fn reload(core: &RouterCore) -> bool {
    match config_loader::load(&core.log).await {
        Ok(loaded) => adopt(core, loaded.fold, &loaded.records),
        Err(error) => {
            spdlog::error!("cannot load the configuration from the log", kv: { error = error.to_string() });
            false
        }
    }
}

/// Replaces the configuration by `fold` if that is further ahead; returns whether it was.
pub fn adopt(core: &RouterCore, fold: ConfigFold, records: &[LogRecord]) -> bool {
    let is_newer = core.config.adopt(fold, records);
    if is_newer {
        report_position(core);
    }
    is_newer
}

/// Folds one record and notifies the other routers.
pub fn fold_record(core: &RouterCore, record: &LogRecord) {
    let before = core.config.position().next_offset;
    let outcome = core.config.apply(record);
    log_outcome(record.offset, &outcome);
    if let RecordOutcome::Change(..) | RecordOutcome::Tripped(_) = outcome {
        core.members.track_propagation(record.offset);
    }
    if core.config.position().next_offset > before {
        report_position(core);
    }
}

/// Reports the new position of the configuration to the lease and the neighbours.
fn report_position(core: &RouterCore) {
    core.lease.advance(core.config.position().next_offset);
    core.members.wake();
}

fn log_outcome(offset: u64, outcome: &RecordOutcome) {
    match outcome {
        RecordOutcome::Change(id, ConfigVerdict::Accepted) => {
            spdlog::info!("configuration change accepted", kv: { offset = offset, change = id.to_string() });
        }
        RecordOutcome::Change(id, verdict) => {
            let verdict = format!("{verdict:?}");
            spdlog::warn!("configuration change refused", kv: { offset = offset, change = id.to_string(), verdict = verdict });
        }
        RecordOutcome::Tripped(trip) => {
            spdlog::warn!("roll-out tripped", kv: { offset = offset, version = trip.version.as_str() });
        }
        RecordOutcome::SnapshotMismatch(snapshot) => {
            metrics::counter!("ferry_config_hash_mismatches_total").increment(1);
            spdlog::error!("configuration differs from a snapshot on the log", kv: { offset = offset, as_of = snapshot.as_of });
        }
        RecordOutcome::Foreign(reason) => {
            metrics::counter!("ferry_config_foreign_records_total").increment(1);
            spdlog::warn!("ignored a record that is not a configuration record", kv: { offset = offset, reason = reason.as_str() });
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
