//! Plug-in that exchanges heartbeats with the neighbours and applies the received reports.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::membership::{
    AppliedDelta, MemberChange, MembershipDelta, MembershipQuery, OwnReport,
};
use ferry_decisions::names::HostName;
use ferry_kernel::supervisor::TaskPlan;
use ferry_kernel::ticks;
use futures::future::BoxFuture;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::config;
use crate::core::{LifecyclePhase, RouterCore};
use crate::peer::{PeerMessage, PeerTopic, decode, encode};
use crate::plugin::RouterPlugin;

/// Period of the heartbeat rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// Shortest pause between two rounds, also when a round is requested early.
const ROUND_PAUSE: Duration = Duration::from_millis(25);
/// Timeout of one heartbeat query.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

inventory::submit! {
    RouterPlugin {
        name: "membership",
        topics: &[PeerTopic::Heartbeat],
        start,
        on_message,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    core.keep(TaskPlan::essential("heartbeats"), run_rounds);
}

async fn run_rounds(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(ROUND_PERIOD);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.members.wait_for_wake() => {}
        }
        send_round(&core);
        sleep(ROUND_PAUSE).await;
    }
}

/// Sends a heartbeat to every neighbour, each in its own task.
fn send_round(core: &Arc<RouterCore>) {
    core.lease.set_listed(&core.members.listed_names());
    let neighbours = core.members.neighbours();
    core.hub().set_neighbours(&neighbours);
    core.hub().set_directory(&core.members.directory());
    core.members.report_own(&own_report(core));
    core.lease.update();
    for (host, _) in neighbours {
        tokio::spawn(send_heartbeat(Arc::clone(core), host));
    }
}

async fn send_heartbeat(core: Arc<RouterCore>, host: HostName) {
    let requested_at = core.clock.now();
    let query = core.members.query(&host);
    let reply = core
        .hub()
        .send_query::<_, MembershipDelta>(&host, PeerTopic::Heartbeat, &query, HEARTBEAT_TIMEOUT)
        .await;
    match reply {
        Ok(delta) => apply_reports(
            &core,
            &core.members.apply_reply(&host, requested_at, &delta),
        ),
        Err(_) => metrics::counter!("ferry_heartbeat_failures_total").increment(1),
    }
}

fn on_message(core: Arc<RouterCore>, message: PeerMessage) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async move {
        let query: MembershipQuery = decode(&message.body).ok()?;
        if query.row.host != message.from {
            metrics::counter!("ferry_heartbeat_forged_rows_total").increment(1);
            return None;
        }
        apply_reports(&core, &core.members.apply_query(&query));
        core.members.report_own(&own_report(&core));
        encode(&core.members.reply(&query)).ok()
    })
}

/// Builds this router's current report about itself.
fn own_report(core: &RouterCore) -> OwnReport {
    OwnReport {
        config: core.config.position(),
        log: core.lease.log_observation(),
        log_working: core.lease.is_log_working(),
        leaving: core.phase() != LifecyclePhase::Serving,
        recovered: core.lease.is_recovered(),
    }
}

/// Forwards the statements of peers to the lease and the configuration, and logs member changes.
fn apply_reports(core: &RouterCore, applied: &AppliedDelta) {
    core.lease.record_statements(&applied.statements);
    for change in &applied.changes {
        log_change(core, change);
    }
    if !applied.statements.is_empty() {
        config::compare_with_peers(core);
    }
}

fn log_change(core: &RouterCore, change: &MemberChange) {
    match change {
        MemberChange::Joined(host) => {
            spdlog::info!("router host joined", kv: { peer = host.as_str() });
        }
        MemberChange::Restarted(host) => {
            spdlog::info!("router host restarted with a new process", kv: { peer = host.as_str() });
        }
        MemberChange::Leaving(host) => {
            spdlog::info!("router host is leaving", kv: { peer = host.as_str() });
            core.members.wake();
        }
        MemberChange::Replaced => core.lease.mark_replaced(),
    }
}

fn view(core: &RouterCore) -> Value {
    json!({ "live": core.members.live(), "members": core.members.view() })
}
