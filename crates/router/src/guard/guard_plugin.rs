//! Plug-in that exchanges guard evidence with peers and appends trips to the log.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::guard::GuardDelta;
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
    core.spawn(guard_exchange::run(Arc::clone(core)));
    core.spawn(trip_writer::run(Arc::clone(core)));
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
