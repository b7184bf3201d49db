//! One claim stream at this router: queues entries, appends them in batches and reads them back.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::claim::{
    ClaimEntry, ClaimOwner, ClaimReply, EntryKind, READ_BACK_MS, claim_stream,
};
use ferry_decisions::names::HostName;
use ferry_decisions::time::UnixMillis;
use ferry_kernel::wall_clock;
use ferry_platform::log::LogError;
use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep;
use uuid::Uuid;

use crate::appends::find_start;
use crate::core::RouterCore;

/// Maximum number of entries queued at one shard.
const QUEUE_LIMIT: usize = 4_096;
/// Maximum number of records per read.
const READ_BATCH: usize = 500;
/// Delay before a retry after a call to the log failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Identifies an entry by its claim and kind.
type EntryId = (Uuid, EntryKind);
/// Reply channels of all callers that wait for one entry.
type EntryWaiters = SmallVec<[oneshot::Sender<ClaimReply>; 1]>;

/// Queue and read state of one claim stream.
#[derive(Debug)]
pub(super) struct ClaimShard {
    shard: u16,
    state: Mutex<ShardState>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct ShardState {
    /// State of the stream as read so far; `None` until the start of the window of claimable ids
    /// has been found in the log.
    owner: Option<ClaimOwner>,
    /// Entries that are not yet in a batch, at most [`QUEUE_LIMIT`].
    queue: Vec<ClaimEntry>,
    waiters: HashMap<EntryId, EntryWaiters>,
}

impl ClaimShard {
    pub(super) fn new(shard: u16) -> Self {
        Self {
            shard,
            state: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Queues an entry, whose reply arrives on the receiver. `None` when the queue is full.
    pub(super) fn submit(&self, entry: ClaimEntry) -> Option<oneshot::Receiver<ClaimReply>> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        if state.queue.len() >= QUEUE_LIMIT {
            return None;
        }
        let entry_id = (entry.claim(), entry.kind());
        let waiters = state.waiters.entry(entry_id).or_default();
        let first = waiters.is_empty();
        waiters.push(sender);
        if first {
            state.queue.push(entry);
        }
        drop(state);
        self.wake.notify_one();
        Some(receiver)
    }

    /// Removes a claim from the queue because its router no longer waits for it. A claim that is
    /// already in a batch is still appended.
    pub(super) fn withdraw(&self, claim: Uuid) {
        let entry_id = (claim, EntryKind::Claim);
        let mut state = self.state.lock();
        state.waiters.remove(&entry_id);
        state
            .queue
            .retain(|entry| (entry.claim(), entry.kind()) != entry_id);
    }

    /// Number of voids that are not yet on the log.
    pub(super) fn pending_voids(&self) -> usize {
        let state = self.state.lock();
        let entry_ids = state.waiters.keys();
        entry_ids
            .filter(|(_, kind)| *kind == EntryKind::Void)
            .count()
    }

    /// Number of entries that are not yet in a batch.
    pub(super) fn unbatched_entries(&self) -> usize {
        self.state.lock().queue.len()
    }

    /// Processes entries until cancelled.
    pub(super) async fn run(&self, core: &RouterCore) {
        loop {
            self.wake.notified().await;
            while self.has_work() {
                if let Err(error) = self.process_batch(core).await {
                    spdlog::debug!("claim batch failed at the log; retrying", kv: { shard = self.shard, error = error.to_string() });
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn has_work(&self) -> bool {
        let state = self.state.lock();
        let owner_has_work = state.owner.as_ref().is_some_and(ClaimOwner::has_work);
        owner_has_work || !state.queue.is_empty()
    }

    /// Appends one batch and reads it back. Entries that need no record are answered first.
    async fn process_batch(&self, core: &RouterCore) -> Result<(), LogError> {
        self.load_window(core).await?;
        if self.needs_tail_read() {
            self.read_tail(core).await?;
        }
        self.answer_without_append();
        if !self.has_work() {
            return Ok(());
        }
        core.appends.acquire().await;
        self.drop_unreachable_claims(core);
        let Some(data) = self.next_batch() else {
            return Ok(());
        };
        let stream = claim_stream(self.shard);
        match core.appends.append(&core.log, &stream, data).await {
            Ok(_) | Err(LogError::Unconfirmed(_)) => self.read_tail(core).await,
            Err(error) => Err(error),
        }
    }

    /// Reads the stream from the start of the window of claimable ids, on the first call only.
    async fn load_window(&self, core: &RouterCore) -> Result<(), LogError> {
        if self.state.lock().owner.is_some() {
            return Ok(());
        }
        let now = wall_clock::now();
        let oldest = UnixMillis(now.0.saturating_sub(READ_BACK_MS));
        let expired = UnixMillis(now.0.saturating_sub(core.settings.platform.retention_ms));
        let stream = claim_stream(self.shard);
        let start = find_start(&core.log, &stream, oldest, expired).await?;
        let mut owner = ClaimOwner::new(self.shard, &core.settings.host, core.incarnation);
        if let Some(lost_until) = start.lost_until {
            owner.skip_to(start.offset, lost_until);
        }
        self.state.lock().owner = Some(owner);
        self.read_tail(core).await
    }

    /// Whether an entry would be refused because of a holder whose claim may have been voided
    /// since the last read.
    fn needs_tail_read(&self) -> bool {
        let state = self.state.lock();
        let Some(owner) = &state.owner else {
            return false;
        };
        let mut claims = state.queue.iter();
        claims.any(|entry| owner.fold().holder(entry.request()).is_some())
    }

    /// Applies all records up to the current end of the stream.
    async fn read_tail(&self, core: &RouterCore) -> Result<(), LogError> {
        let stream = claim_stream(self.shard);
        let retention = core.settings.platform.retention_ms;
        loop {
            let from = self.next_offset();
            let page = core
                .log
                .read(&stream, from, READ_BATCH, Duration::ZERO)
                .await?;
            let mut state = self.state.lock();
            let state = &mut *state;
            let Some(owner) = &mut state.owner else {
                return Ok(());
            };
            if page.earliest > from {
                let expired = wall_clock::now().0.saturating_sub(retention);
                owner.skip_to(page.earliest, UnixMillis(expired));
            }
            for record in &page.records {
                for (decision, reply) in owner.apply(record.offset, record.time, &record.data) {
                    let entry_id = (decision.claim, decision.kind);
                    reply_to_waiters(&mut state.waiters, entry_id, &reply);
                }
            }
            if owner.fold().next_offset() >= page.next {
                return Ok(());
            }
        }
    }

    fn next_offset(&self) -> u64 {
        let state = self.state.lock();
        let owner = state.owner.as_ref();
        owner.map_or(0, |owner| owner.fold().next_offset())
    }

    /// Replies to entries whose outcome is already known from the records read.
    fn answer_without_append(&self) {
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(owner) = &state.owner else {
            return;
        };
        let waiters = &mut state.waiters;
        state.queue.retain(|entry| match owner.known_reply(entry) {
            Some(reply) => {
                reply_to_waiters(waiters, (entry.claim(), entry.kind()), &reply);
                false
            }
            None => true,
        });
    }

    /// Drops claims of routers that are no longer connected. Their grant could not be delivered,
    /// and an appended claim would block the id. A router that lost only its link appends its claim
    /// itself.
    fn drop_unreachable_claims(&self, core: &RouterCore) {
        let connected = core.hub().connected();
        let is_reachable =
            |host: &HostName| *host == core.settings.host || connected.contains(host);
        let mut state = self.state.lock();
        let state = &mut *state;
        state.queue.retain(|entry| match entry {
            ClaimEntry::Void { .. } => true,
            ClaimEntry::Claim { router, claim, .. } => {
                let keep = is_reachable(router);
                if !keep {
                    state.waiters.remove(&(*claim, EntryKind::Claim));
                }
                keep
            }
        });
    }

    /// Next batch to append, as JSON: the one whose append is unconfirmed, else a new one.
    fn next_batch(&self) -> Option<String> {
        let mut state = self.state.lock();
        let state = &mut *state;
        let owner = state.owner.as_mut()?;
        for entry in state.queue.drain(..) {
            let entry_id = (entry.claim(), entry.kind());
            if let Some(reply) = owner.submit(entry) {
                reply_to_waiters(&mut state.waiters, entry_id, &reply);
            }
        }
        let batch = owner.next_batch(Uuid::new_v4())?;
        serde_json::to_string(batch).ok()
    }
}

fn reply_to_waiters(
    waiters: &mut HashMap<EntryId, EntryWaiters>,
    entry_id: EntryId,
    reply: &ClaimReply,
) {
    for waiter in waiters.remove(&entry_id).into_iter().flatten() {
        let _ = waiter.send(reply.clone());
    }
}
