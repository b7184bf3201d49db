//! Plug-in that exchanges heartbeats with the neighbours and passes on what they say.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::membership::{
    AppliedDelta, MemberChange, MembershipDelta, MembershipQuery, OwnReport,
};
use ferry_decisions::names::HostName;
use ferry_kernel::ticks;
use futures::future::BoxFuture;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::config;
use crate::core::{LifecyclePhase, RouterCore};
use crate::peer::{PeerMessage, PeerTopic, decode, encode};
use crate::plugin::RouterPlugin;

/// Time between two rounds of heartbeats.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// Least time between two rounds, also when there is news.
const ROUND_GAP: Duration = Duration::from_millis(25);
/// Time that an answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

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
    core.spawn(beat(Arc::clone(core)));
}

async fn beat(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(ROUND_PERIOD);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.members.woken() => {}
        }
        send_round(&core);
        sleep(ROUND_GAP).await;
    }
}

/// Asks every neighbour for its table, each on a task of its own.
fn send_round(core: &Arc<RouterCore>) {
    core.lease.relist(&core.members.listed_names());
    let neighbours = core.members.neighbours();
    core.hub().set_neighbours(&neighbours);
    core.hub().set_directory(&core.members.directory());
    core.members.report_own(&own_report(core));
    core.lease.settle();
    for (host, _) in neighbours {
        tokio::spawn(ask(Arc::clone(core), host));
    }
}

async fn ask(core: Arc<RouterCore>, host: HostName) {
    let asked = core.clock.now();
    let query = core.members.query(&host);
    let answer = core
        .hub()
        .ask::<_, MembershipDelta>(&host, PeerTopic::Heartbeat, &query, ANSWER_LIMIT)
        .await;
    match answer {
        Ok(delta) => take(&core, &core.members.take_answer(&host, asked, &delta)),
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
        take(&core, &core.members.take_query(&query));
        core.members.report_own(&own_report(&core));
        encode(&core.members.answer(&query)).ok()
    })
}

/// What this router says about itself now.
fn own_report(core: &RouterCore) -> OwnReport {
    OwnReport {
        config: core.config.mark(),
        log: core.lease.log_sighting(),
        log_working: core.lease.log_works(),
        leaving: core.phase() != LifecyclePhase::Serving,
        recovered: core.lease.is_recovered(),
    }
}

/// Passes on what peers said to the lease and to the configuration.
fn take(core: &RouterCore, applied: &AppliedDelta) {
    core.lease.peers_heard(&applied.statements);
    for change in &applied.changes {
        report(core, change);
    }
    if !applied.statements.is_empty() {
        config::compare_with_peers(core);
    }
}

fn report(core: &RouterCore, change: &MemberChange) {
    match change {
        MemberChange::Joined(host) => {
            spdlog::info!("router host joined", kv: { peer = host.as_str() });
        }
        MemberChange::Restarted(host) => {
            spdlog::info!("router host runs a new process", kv: { peer = host.as_str() });
        }
        MemberChange::Leaving(host) => {
            spdlog::info!("router host leaves", kv: { peer = host.as_str() });
            core.members.wake();
        }
        MemberChange::Replaced => core.lease.give_up(),
    }
}

fn view(core: &RouterCore) -> Value {
    json!({ "live": core.members.live(), "members": core.members.view() })
}
