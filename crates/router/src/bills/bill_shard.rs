//! One bill stream at this router: queues bills and appends them in batches, at most one bill for each
//! request.

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

/// Maximum number of bills queued at one shard.
const QUEUE_LIMIT: usize = 16_384;
/// Maximum number of bills per batch.
const BATCH_LIMIT: usize = 512;
/// Delay before a retry after an append failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Queue of one bill stream, with the requests billed there recently.
#[derive(Debug)]
pub(super) struct BillShard {
    shard: u16,
    queue: Mutex<Vec<QueuedBill>>,
    /// Requests whose bill is already on the log; further bills of them are skipped.
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

    /// Queues `bill`; the receiver resolves once it is on the log. `None` when the queue is full.
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

    /// Appends queued bills until cancelled.
    pub(super) async fn run(&self, core: &RouterCore) {
        loop {
            self.wake.notified().await;
            while !self.queue.lock().is_empty() {
                core.appends.acquire().await;
                let queued = self.next_bills();
                self.append(core, queued).await;
            }
        }
    }

    /// Appends `queued` as one batch and notifies the submitters once the log has confirmed it.
    /// Retries keep the identifier of the batch.
    async fn append(&self, core: &RouterCore, queued: Vec<QueuedBill>) {
        let bills = self.unlogged_bills(&queued);
        if !bills.is_empty() {
            self.append_batch(core, bills).await;
        }
        for queued in queued {
            let _ = queued.logged.send(());
        }
    }

    /// The first bill of each request in `queued`, except for requests whose bill is known to be on the
    /// log.
    fn unlogged_bills(&self, queued: &[QueuedBill]) -> Vec<BillEntry> {
        let logged = self.logged.lock();
        let mut seen = HashSet::new();
        let mut is_first = |bill: &&BillEntry| {
            let key = RequestKey::new(&bill.workspace, &bill.request);
            !logged.contains(&key) && seen.insert(key)
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
            spdlog::debug!("bill batch failed at the log; retrying", kv: { shard = self.shard, error = error.to_string() });
            sleep(RETRY_DELAY).await;
            core.appends.acquire().await;
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
