//! Makes bills durable.

use std::time::Duration;

use ferry_decisions::bill::{BillBatch, BillEntry};
use ferry_decisions::claim::shard_of;
use tokio::time::sleep;
use uuid::Uuid;

use crate::core::RouterCore;

/// Pause before a bill is appended again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Bills of this router that are not yet durable.
#[derive(Debug, Default)]
pub struct BillDesk {}

/// Returns once `bill` is durable.
pub async fn release(core: &RouterCore, bill: BillEntry) {
    let stream = format!("bills-{}", shard_of(&bill.request));
    let batch = BillBatch {
        owner: core.settings.host.clone(),
        batch: Uuid::new_v4(),
        bills: vec![bill],
    };
    let data = serde_json::to_vec(&batch).expect("a batch has only plain fields");
    while core.log.append(&stream, data.clone()).await.is_err() {
        sleep(RETRY_PAUSE).await;
    }
}

/// Waits until no bill of this router is left that is not durable.
pub async fn drain(_core: &RouterCore) {}
