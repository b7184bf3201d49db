//! Makes the bills, copies and voids at this router durable before it stops.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::bill::BillEntry;
use tokio::time::{Instant, sleep};

use super::bill_message::BillAnswer;
use super::bill_release::{REQUIRED_COPIES, flush_copies, request_copy};
use crate::core::RouterCore;

/// Time between two log lines about bills and voids that delay the stop.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two checks whether bills or voids still delay the stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two attempts to transfer copies to other routers.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until no bill, copy or void would be lost with this host. While the log is unavailable,
/// copies are transferred to other routers.
pub async fn drain(core: &Arc<RouterCore>) {
    flush_copies(core, true);
    let mut last_transfer: Option<Instant> = None;
    let mut last_report = Instant::now();
    while has_unsaved_records(core) {
        let due = last_transfer.is_none_or(|last| last.elapsed() >= TRANSFER_INTERVAL);
        if due && core.appends.is_log_unavailable() {
            transfer_copies(core).await;
            last_transfer = Some(Instant::now());
        }
        if last_report.elapsed() >= REPORT_INTERVAL {
            log_unsaved_records(core);
            last_report = Instant::now();
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether bills, copies or voids would be lost if this host stopped now.
fn has_unsaved_records(core: &RouterCore) -> bool {
    core.bills.at_risk() > 0 || core.bills.copy_store().len() > 0 || core.claims.pending_voids() > 0
}

fn log_unsaved_records(core: &RouterCore) {
    spdlog::warn!("the stop waits for bills and voids that are not on the log", kv: {
        bills = core.bills.at_risk(),
        copies = core.bills.copy_store().len(),
        voids = core.claims.pending_voids(),
    });
}

/// Transfers the copies held here to other routers.
async fn transfer_copies(core: &RouterCore) {
    for (key, bill) in core.bills.copy_store().copies() {
        if is_held_elsewhere(core, &bill).await {
            core.bills.copy_store().remove(&key);
        }
    }
}

/// Whether the copy held here may be dropped: a router that had no copy has accepted one, or at
/// least [`REQUIRED_COPIES`] routers already had one.
async fn is_held_elsewhere(core: &RouterCore, bill: &BillEntry) -> bool {
    let mut existing_holders = 0;
    for peer in core.hub().connected() {
        match request_copy(core, &peer, bill).await {
            Some(BillAnswer::Held) => return true,
            Some(BillAnswer::AlreadyHeld) => existing_holders += 1,
            Some(BillAnswer::Logged | BillAnswer::Refused) | None => {}
        }
    }
    existing_holders >= REQUIRED_COPIES
}
