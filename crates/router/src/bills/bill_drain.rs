//! Empties this router of bills before it stops.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::bill::BillEntry;
use tokio::time::{Instant, sleep};

use super::bill_message::BillAnswer;
use super::bill_release::{COPIES, ask_to_hold, flush_holds};
use crate::core::RouterCore;

/// Time between two log lines about bills that a stop waits for.
const DRAIN_REPORT: Duration = Duration::from_secs(5);
/// Time between two looks at the bills that a stop waits for.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time between two attempts to pass copies on.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(500);

/// Waits until no bill of this router, nor a copy here, would be lost with this host.
pub async fn drain(core: &Arc<RouterCore>) {
    flush_holds(core, true);
    let mut handed_over: Option<Instant> = None;
    let mut reported = Instant::now();
    while is_needed(core) {
        let due = handed_over.is_none_or(|last| last.elapsed() >= HAND_OVER_PAUSE);
        if due && core.appends.is_out() {
            hand_over(core).await;
            handed_over = Some(Instant::now());
        }
        if reported.elapsed() >= DRAIN_REPORT {
            report(core);
            reported = Instant::now();
        }
        sleep(DRAIN_POLL).await;
    }
}

/// Whether bills, copies or voids would be lost with this host.
fn is_needed(core: &RouterCore) -> bool {
    core.bills.at_risk() > 0 || core.bills.holds().len() > 0 || core.claims.open_voids() > 0
}

fn report(core: &RouterCore) {
    spdlog::warn!("the stop waits for bills and voids that are not on the log", kv: {
        bills = core.bills.at_risk(),
        copies = core.bills.holds().len(),
        voids = core.claims.open_voids(),
    });
}

/// Passes the copies held here on to other routers.
async fn hand_over(core: &RouterCore) {
    for (key, bill) in core.bills.holds().copies() {
        if is_kept_elsewhere(core, &bill).await {
            core.bills.holds().remove(&key);
        }
    }
}

/// Finds a router that takes a copy which it did not have, or enough routers that have one.
async fn is_kept_elsewhere(core: &RouterCore, bill: &BillEntry) -> bool {
    let mut keepers = 0;
    for peer in core.hub().connected() {
        match ask_to_hold(core, &peer, bill).await {
            Some(BillAnswer::Held) => return true,
            Some(BillAnswer::AlreadyHeld) => keepers += 1,
            Some(BillAnswer::Logged | BillAnswer::Refused) | None => {}
        }
    }
    keepers >= COPIES
}
