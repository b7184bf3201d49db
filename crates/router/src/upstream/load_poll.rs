//! Plug-in that polls the load reports of the engines.

use std::sync::Arc;
use std::time::Duration;

use ferry_kernel::http::{HttpError, HttpRequest};
use ferry_kernel::supervisor::TaskPlan;
use ferry_kernel::ticks;
use ferry_platform::engine::LoadReport;
use futures::StreamExt;
use serde_json::{Value, json};

use super::UpstreamHost;
use crate::core::RouterCore;
use crate::plugin::{RouterPlugin, no_messages};

/// Interval between polls of all engines.
const POLL_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent reads.
const MAX_CONCURRENT_READS: usize = 32;

inventory::submit! {
    RouterPlugin {
        name: "load_reports",
        topics: &[],
        start,
        on_message: no_messages,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    core.keep(TaskPlan::essential("load reports"), poll);
}

async fn poll(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(POLL_PERIOD);
    loop {
        ticks.tick().await;
        let engines = core.upstreams.all().into_iter().filter(|h| h.is_engine());
        futures::stream::iter(engines)
            .for_each_concurrent(MAX_CONCURRENT_READS, |host| read_load_report(&core, host))
            .await;
    }
}

async fn read_load_report(core: &RouterCore, host: Arc<UpstreamHost>) {
    let request = HttpRequest::get(&format!("{}/load", host.url()));
    let answer = core.http.fetch_json::<LoadReport>(request, READ_TIMEOUT);
    match answer.await {
        Ok(report) => host.set_report(core.clock.elapsed(), report),
        Err(HttpError::Connect { .. }) => host.mark_suspect(core.clock.elapsed()),
        Err(_) => {}
    }
}

fn view(core: &RouterCore) -> Value {
    let hosts = core.upstreams.all();
    let reported = hosts.iter().filter(|host| host.has_reported()).count();
    json!({ "engines_reporting": reported })
}
