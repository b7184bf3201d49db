//! Plug-in that appends bills, and stores and flushes copies of other routers' bills.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::supervisor::TaskPlan;
use futures::future::BoxFuture;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::bill_message::{BillAnswer, BillQuery};
use super::bill_release::{append_for_peer, flush_copies};
use crate::core::{LifecyclePhase, RouterCore};
use crate::peer::{PeerMessage, PeerTopic, decode, encode};
use crate::plugin::RouterPlugin;

/// Interval at which this router's append rate is updated and the copies due are flushed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

inventory::submit! {
    RouterPlugin {
        name: "bills",
        topics: &[PeerTopic::Bills],
        start,
        on_message,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    for index in 0..core.bills.shards().len() {
        core.keep(TaskPlan::essential("bills"), move |core| async move {
            core.bills.shards()[index].run(&core).await;
        });
    }
    core.keep(TaskPlan::essential("bill copies"), maintain);
}

async fn maintain(core: Arc<RouterCore>) {
    loop {
        core.appends
            .update_rate(&core.settings.host, &core.members.live());
        flush_copies(&core, false);
        sleep(MAINTENANCE_INTERVAL).await;
    }
}

fn on_message(core: Arc<RouterCore>, message: PeerMessage) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async move {
        let answer = match decode(&message.body).ok()? {
            BillQuery::Append(bill) => append_for_peer(&core, &bill).await,
            BillQuery::Hold(bill) if core.phase() == LifecyclePhase::Serving => {
                core.bills.hold(bill, &message.from)
            }
            BillQuery::Hold(_) => BillAnswer::Refused,
            BillQuery::Logged(key) => {
                core.bills.copy_store().remove(&key);
                return None;
            }
        };
        encode(&answer).ok()
    })
}

fn view(core: &RouterCore) -> Value {
    json!({
        "unlogged": core.bills.unlogged(),
        "at_risk": core.bills.at_risk(),
        "copies_held": core.bills.copy_store().len(),
        "log_out": core.appends.is_log_unavailable(),
    })
}
