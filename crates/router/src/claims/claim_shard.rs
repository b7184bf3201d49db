//! One claim stream at this router: takes entries, appends them in batches, reads them back.

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

/// Entries that may wait at one shard.
const INBOX_LIMIT: usize = 4_096;
/// Records of one read.
const READ_BATCH: usize = 500;
/// Pause after the log did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Names one awaited entry.
type EntryTicket = (Uuid, EntryKind);
/// Senders of the routers that wait for one entry.
type EntryAskers = SmallVec<[oneshot::Sender<ClaimReply>; 1]>;

/// One claim stream.
#[derive(Debug)]
pub(super) struct ClaimShard {
    shard: u16,
    state: Mutex<ShardState>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct ShardState {
    /// The stream as read so far; `None` until the window was found in the log.
    owner: Option<ClaimOwner>,
    /// Entries not yet in a batch, at most [`INBOX_LIMIT`].
    inbox: Vec<ClaimEntry>,
    askers: HashMap<EntryTicket, EntryAskers>,
}

impl ClaimShard {
    pub(super) fn new(shard: u16) -> Self {
        Self {
            shard,
            state: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Takes an entry; its answer comes through the receiver. `None` when too many wait.
    pub(super) fn submit(&self, entry: ClaimEntry) -> Option<oneshot::Receiver<ClaimReply>> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        if state.inbox.len() >= INBOX_LIMIT {
            return None;
        }
        let ticket = (entry.claim(), entry.kind());
        let askers = state.askers.entry(ticket).or_default();
        let first = askers.is_empty();
        askers.push(sender);
        if first {
            state.inbox.push(entry);
        }
        drop(state);
        self.wake.notify_one();
        Some(receiver)
    }

    /// Takes back a claim that nobody waits for any more, unless it is in a batch.
    pub(super) fn withdraw(&self, claim: Uuid) {
        let ticket = (claim, EntryKind::Claim);
        let mut state = self.state.lock();
        state.askers.remove(&ticket);
        state
            .inbox
            .retain(|entry| (entry.claim(), entry.kind()) != ticket);
    }

    /// Number of voids that are not yet on the log.
    pub(super) fn open_voids(&self) -> usize {
        let state = self.state.lock();
        let open = state.askers.keys();
        open.filter(|(_, kind)| *kind == EntryKind::Void).count()
    }

    /// Number of entries that are in no batch yet.
    pub(super) fn waiting(&self) -> usize {
        self.state.lock().inbox.len()
    }

    /// Works until cancelled.
    pub(super) async fn work(&self, core: &RouterCore) {
        loop {
            self.wake.notified().await;
            while self.has_work() {
                if let Err(error) = self.step(core).await {
                    spdlog::debug!("claims wait for the log", kv: { shard = self.shard, error = error.to_string() });
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn has_work(&self) -> bool {
        let state = self.state.lock();
        let in_doubt = state.owner.as_ref().is_some_and(ClaimOwner::has_work);
        in_doubt || !state.inbox.is_empty()
    }

    /// Appends one batch and reads it back.
    async fn step(&self, core: &RouterCore) -> Result<(), LogError> {
        self.find_window(core).await?;
        if self.needs_tail() {
            self.read_tail(core).await?;
        }
        self.answer_known();
        if !self.has_work() {
            return Ok(());
        }
        core.appends.turn().await;
        self.drop_abandoned(core);
        let Some(data) = self.next_batch() else {
            return Ok(());
        };
        let stream = claim_stream(self.shard);
        match core.appends.append(&core.log, &stream, data).await {
            Ok(_) | Err(LogError::Unconfirmed(_)) => self.read_tail(core).await,
            Err(error) => Err(error),
        }
    }

    /// Starts to read where the window of claimable ids starts.
    async fn find_window(&self, core: &RouterCore) -> Result<(), LogError> {
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

    /// Whether an entry would be refused because of a holder, which may have given up since.
    fn needs_tail(&self) -> bool {
        let state = self.state.lock();
        let Some(owner) = &state.owner else {
            return false;
        };
        let mut claims = state.inbox.iter();
        claims.any(|entry| owner.fold().holder(entry.request()).is_some())
    }

    /// Folds all records up to the present end of the stream.
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
                    let ticket = (decision.claim, decision.kind);
                    answer(&mut state.askers, ticket, &reply);
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

    /// Answers the entries that need no record.
    fn answer_known(&self) {
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(owner) = &state.owner else {
            return;
        };
        let askers = &mut state.askers;
        state.inbox.retain(|entry| match owner.known_reply(entry) {
            Some(reply) => {
                answer(askers, (entry.claim(), entry.kind()), &reply);
                false
            }
            None => true,
        });
    }

    /// Drops claims of other routers to which no link is left: nobody hears of their grant, and an
    /// appended claim would keep the id. A router that lost only its link appends its claim itself.
    fn drop_abandoned(&self, core: &RouterCore) {
        let connected = core.hub().connected();
        let is_near = |host: &HostName| *host == core.settings.host || connected.contains(host);
        let mut state = self.state.lock();
        let state = &mut *state;
        state.inbox.retain(|entry| match entry {
            ClaimEntry::Void { .. } => true,
            ClaimEntry::Claim { router, claim, .. } => {
                let keep = is_near(router);
                if !keep {
                    state.askers.remove(&(*claim, EntryKind::Claim));
                }
                keep
            }
        });
    }

    /// The batch to append now, as text: the one in doubt, else a new one.
    fn next_batch(&self) -> Option<String> {
        let mut state = self.state.lock();
        let state = &mut *state;
        let owner = state.owner.as_mut()?;
        for entry in state.inbox.drain(..) {
            let ticket = (entry.claim(), entry.kind());
            if let Some(reply) = owner.submit(entry) {
                answer(&mut state.askers, ticket, &reply);
            }
        }
        let batch = owner.next_batch(Uuid::new_v4())?;
        serde_json::to_string(batch).ok()
    }
}

fn answer(askers: &mut HashMap<EntryTicket, EntryAskers>, ticket: EntryTicket, reply: &ClaimReply) {
    for asker in askers.remove(&ticket).into_iter().flatten() {
        let _ = asker.send(reply.clone());
    }
}
