//! Appends trips to the configuration stream until the folded configuration contains them.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::config::{ConfigRecord, TripRecord};
use ferry_kernel::ticks;

use crate::config::CONFIG_STREAM;
use crate::core::RouterCore;

/// Period of the check for unlogged trips; the fold ignores repeated records of the same trip.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Periodically appends trips that are missing from the folded configuration.
pub async fn run(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(CHECK_PERIOD);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.guard.tripped_here.notified() => {}
        }
        for record in core.guard.unlogged_trips(&core.config.view()) {
            append(&core, record).await;
        }
    }
}

async fn append(core: &RouterCore, record: TripRecord) {
    let record = ConfigRecord::Trip(record);
    let data = serde_json::to_vec(&record).expect("a record has only plain fields");
    if let Err(error) = core.log.append(CONFIG_STREAM, data).await {
        metrics::counter!("ferry_guard_trip_append_failures_total").increment(1);
        spdlog::warn!("trip record not appended to the log; will retry", kv: { error = error.to_string() });
    }
}
