//! Plug-in that exchanges guard evidence with peers and appends trips to the log.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::guard::GuardDelta;
use ferry_kernel::supervisor::TaskPlan;
use futures::future::BoxFuture;
use serde_json::{Value, json};

use super::{guard_exchange, trip_writer};
use crate::core::RouterCore;
use crate::peer::{PeerMessage, PeerTopic, decode};
use crate::plugin::RouterPlugin;

inventory::submit! {
    RouterPlugin {
        name: "guard",
        topics: &[PeerTopic::Guard],
        start,
        on_message,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    core.keep(TaskPlan::essential("guard exchange"), guard_exchange::run);
    core.keep(TaskPlan::essential("guard trips"), trip_writer::run);
}

fn on_message(core: Arc<RouterCore>, message: PeerMessage) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async move {
        if let Ok(delta) = decode::<GuardDelta>(&message.body) {
            core.guard.merge(&core.config.view(), delta);
        }
        None
    })
}

fn view(core: &RouterCore) -> Value {
    json!({ "candidates": core.guard.candidates(&core.config.view()) })
}
