//! One bill stream at this router: appends bills in batches, one for each request.

use std::collections::HashSet;
use std::time::Duration;

use ferry_decisions::bill::{BillBatch, BillEntry, bill_stream};
use ferry_decisions::claim::RequestKey;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep;
use uuid::Uuid;

use super::logged_keys::LoggedKeys;
use crate::core::RouterCore;

/// Bills that may wait at one shard.
const QUEUE_LIMIT: usize = 16_384;
/// Bills of one batch.
const BATCH_LIMIT: usize = 512;
/// Pause after the log did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// One bill stream.
#[derive(Debug)]
pub(super) struct BillShard {
    shard: u16,
    queue: Mutex<Vec<QueuedBill>>,
    /// Requests that need no further bill.
    logged: Mutex<LoggedKeys>,
    wake: Notify,
}

#[derive(Debug)]
struct QueuedBill {
    bill: BillEntry,
    logged: oneshot::Sender<()>,
}

impl BillShard {
    pub(super) fn new(shard: u16) -> Self {
        Self {
            shard,
            queue: Mutex::default(),
            logged: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Queues `bill`; the receiver resolves once it is on the log. `None` when too many wait.
    pub(super) fn submit(&self, bill: BillEntry) -> Option<oneshot::Receiver<()>> {
        let (logged, receiver) = oneshot::channel();
        let mut queue = self.queue.lock();
        if queue.len() >= QUEUE_LIMIT {
            return None;
        }
        queue.push(QueuedBill { bill, logged });
        drop(queue);
        self.wake.notify_one();
        Some(receiver)
    }

    /// Works until cancelled.
    pub(super) async fn work(&self, core: &RouterCore) {
        loop {
            self.wake.notified().await;
            while !self.queue.lock().is_empty() {
                core.appends.turn().await;
                let queued = self.next_bills();
                self.append(core, queued).await;
            }
        }
    }

    /// Appends one batch under one identifier until the log confirms it.
    async fn append(&self, core: &RouterCore, queued: Vec<QueuedBill>) {
        let bills = self.first_bills(&queued);
        if !bills.is_empty() {
            self.append_batch(core, bills).await;
        }
        for queued in queued {
            let _ = queued.logged.send(());
        }
    }

    /// Those of the `queued` bills whose request has no earlier bill, as far as is known here.
    fn first_bills(&self, queued: &[QueuedBill]) -> Vec<BillEntry> {
        let logged = self.logged.lock();
        let mut taken = HashSet::new();
        let mut is_first = |bill: &&BillEntry| {
            let key = RequestKey::new(&bill.workspace, &bill.request);
            !logged.contains(&key) && taken.insert(key)
        };
        let bills = queued.iter().map(|queued| &queued.bill);
        bills.filter(|bill| is_first(bill)).cloned().collect()
    }

    async fn append_batch(&self, core: &RouterCore, bills: Vec<BillEntry>) {
        let batch = BillBatch {
            owner: core.settings.host.clone(),
            batch: Uuid::new_v4(),
            bills,
        };
        let data = serde_json::to_string(&batch).unwrap_or_default();
        let stream = bill_stream(self.shard);
        while let Err(error) = core.appends.append(&core.log, &stream, data.clone()).await {
            spdlog::debug!("bills wait for the log", kv: { shard = self.shard, error = error.to_string() });
            sleep(RETRY_PAUSE).await;
            core.appends.turn().await;
        }
        let mut logged = self.logged.lock();
        for bill in &batch.bills {
            logged.insert(RequestKey::new(&bill.workspace, &bill.request));
        }
    }

    fn next_bills(&self) -> Vec<QueuedBill> {
        let mut queue = self.queue.lock();
        let count = queue.len().min(BATCH_LIMIT);
        queue.drain(..count).collect()
    }
}
