//! Plug-in that polls the platform's host list.

use std::sync::Arc;
use std::time::Duration;

use ferry_kernel::supervisor::TaskPlan;
use ferry_kernel::ticks;
use serde_json::{Value, json};

use crate::core::RouterCore;
use crate::plugin::{RouterPlugin, no_messages};

/// Interval between reads of the host list.
const POLL_PERIOD: Duration = Duration::from_secs(1);

inventory::submit! {
    RouterPlugin {
        name: "host_list",
        topics: &[],
        start,
        on_message: no_messages,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    core.keep(TaskPlan::essential("host list"), poll);
}

async fn poll(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(POLL_PERIOD);
    loop {
        ticks.tick().await;
        match core.hosts.list().await {
            Ok(listing) => {
                core.upstreams.update(&listing.hosts);
                core.members.update(&listing.hosts);
            }
            Err(error) => {
                metrics::counter!("ferry_host_list_failures_total").increment(1);
                spdlog::debug!("cannot read the host list", kv: { error = error.to_string() });
            }
        }
    }
}

fn view(core: &RouterCore) -> Value {
    let hosts = core.upstreams.all();
    let leaving = hosts.iter().filter(|host| host.is_leaving()).count();
    json!({ "upstreams": hosts.len(), "leaving": leaving })
}
