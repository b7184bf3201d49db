//! Plug-in that appends and reads back claims of this router and of its peers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::supervisor::TaskPlan;
use futures::future::BoxFuture;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::claim_manager;
use super::claim_message::{ClaimAnswer, ClaimQuery};
use crate::core::RouterCore;
use crate::peer::{PeerMessage, PeerTopic, decode, encode};
use crate::plugin::RouterPlugin;

inventory::submit! {
    RouterPlugin {
        name: "claims",
        topics: &[PeerTopic::Claims],
        start,
        on_message,
        view,
    }
}

fn start(core: &Arc<RouterCore>) {
    for index in 0..core.claims.shards().len() {
        core.keep(TaskPlan::essential("claims"), move |core| async move {
            core.claims.shards()[index].run(&core).await;
        });
    }
}

fn on_message(core: Arc<RouterCore>, message: PeerMessage) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async move {
        let answer = match decode(&message.body).ok()? {
            ClaimQuery::Submit(entry) => {
                ClaimAnswer::Submitted(claim_manager::submit_locally(&core, entry).await)
            }
            ClaimQuery::Join(query) => {
                let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
                ClaimAnswer::Joined(core.claims.runs().join(&query, deadline).await)
            }
        };
        encode(&answer).ok()
    })
}

fn view(core: &RouterCore) -> Value {
    json!({
        "waiting": core.claims.unbatched_entries(),
        "voids_not_on_the_log": core.claims.pending_voids(),
    })
}
