//! Appends snapshots of the folded state before the records that it was folded from expire.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::config::ConfigRecord;
use ferry_kernel::ticks;
use ferry_kernel::wall_clock;

use super::CONFIG_STREAM;
use crate::core::RouterCore;

/// Period of the check, which is also the shortest time between two snapshots of one router.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Periodically appends a snapshot if one is due and this router is the writer.
pub async fn run(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(CHECK_PERIOD);
    loop {
        ticks.tick().await;
        let retention_ms = core.settings.platform.retention_ms;
        let is_due = core.config.snapshot_due(wall_clock::now(), retention_ms);
        if is_due && is_writer(&core) {
            append(&core).await;
        }
    }
}

/// Whether this router is the first, by host name, of the live routers that read the log. Two
/// writers at once are harmless.
fn is_writer(core: &RouterCore) -> bool {
    let own = &core.settings.host;
    let rows = core.members.live_rows();
    let has_earlier_reader = rows
        .iter()
        .any(|row| row.log_working && !row.leaving && row.host < *own);
    core.lease.is_log_working() && !has_earlier_reader
}

async fn append(core: &RouterCore) {
    let Some(snapshot) = core.config.snapshot() else {
        return;
    };
    let as_of = snapshot.as_of;
    let record = ConfigRecord::Snapshot(snapshot);
    let data = serde_json::to_vec(&record).expect("a record has only plain fields");
    match core.log.append(CONFIG_STREAM, data).await {
        Ok(offset) => {
            spdlog::info!("configuration snapshot appended", kv: { offset = offset, as_of = as_of });
        }
        Err(error) => {
            metrics::counter!("ferry_config_snapshot_failures_total").increment(1);
            spdlog::warn!("configuration snapshot not appended", kv: { error = error.to_string() });
        }
    }
}
