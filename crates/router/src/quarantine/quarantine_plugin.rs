//! Plug-in that shares crashes and suspected requests between the routers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::quarantine::{CrashDelta, CrashPool};
use ferry_kernel::supervisor::TaskPlan;
use ferry_kernel::ticks;
use futures::future::BoxFuture;
use serde_json::{Value, json};

use crate::core::RouterCore;
use crate::peer::{PeerMessage, PeerTopic, decode, encode};
use crate::plugin::RouterPlugin;

/// Period of full reports, for routers that joined or missed a change.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

inventory::submit! {
    RouterPlugin {
        name: "quarantine",
        topics: &[PeerTopic::Quarantine],
        start,
        on_message,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    core.keep(TaskPlan::helper("crash reports"), send_full_reports);
}

async fn send_full_reports(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(REPORT_PERIOD);
    loop {
        ticks.tick().await;
        core.crashes.with(&core, CrashPool::expire);
        let full_delta = core.crashes.full_delta();
        if full_delta != CrashDelta::default() {
            core.hub().broadcast(PeerTopic::Quarantine, &full_delta);
        }
    }
}

fn on_message(core: Arc<RouterCore>, message: PeerMessage) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async move {
        let delta: CrashDelta = decode(&message.body).ok()?;
        encode(&core.crashes.merge(&core, &delta)).ok()
    })
}

fn view(core: &RouterCore) -> Value {
    json!({ "quarantined": core.crashes.quarantined() })
}
