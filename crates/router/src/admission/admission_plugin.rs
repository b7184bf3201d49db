//! Plug-in that exchanges counts of offered requests with the peers and divides capacity.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::admission::AdmissionConfig;
use ferry_decisions::names::VersionName;
use ferry_kernel::supervisor::TaskPlan;
use ferry_kernel::ticks;
use futures::future::BoxFuture;
use serde_json::{Value, json};

use super::admission_message::AdmissionReport;
use crate::core::RouterCore;
use crate::peer::{PeerMessage, PeerTopic, decode};
use crate::plugin::RouterPlugin;

/// Interval between reports to the peers.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Converts engine steps per millisecond into steps per second.
const MS_PER_SECOND: f64 = 1_000.0;

inventory::submit! {
    RouterPlugin {
        name: "intake",
        topics: &[PeerTopic::Limits],
        start,
        on_message,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    core.keep(TaskPlan::essential("demand"), exchange);
}

async fn exchange(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(REPORT_PERIOD);
    loop {
        ticks.tick().await;
        let report = core.admission.report(&core);
        core.hub().broadcast(PeerTopic::Limits, &report);
        core.admission
            .divide_capacity(&core, |version| capacity(&core, version));
    }
}

fn on_message(core: Arc<RouterCore>, message: PeerMessage) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async move {
        if let Ok(report) = decode::<AdmissionReport>(&message.body) {
            core.admission.merge(&core, &report);
        }
        None
    })
}

/// Engine steps per second of `version` that are divided among the workspaces: those of its upstreams
/// at the target utilisation.
fn capacity(core: &RouterCore, version: &VersionName) -> f64 {
    let hosts = core.upstreams.serving(version);
    let steps = hosts.iter().map(|host| {
        let load = host.load(core.clock.elapsed(), None);
        f64::from(load.batch_limit()) * MS_PER_SECOND / load.step_ms()
    });
    steps.sum::<f64>() * AdmissionConfig::default().target_utilisation
}

fn view(core: &RouterCore) -> Value {
    let report = core.admission.report(core);
    json!({ "limited_workspaces": report.workspaces.len(), "demands": report.demands.len() })
}
