//! Owner of one claim stream: batches entries and replies to each one according to log order.
//!
//! The reply to an entry is given only after its batch was read back from the log, so a second owner
//! of the same stream cannot grant a request twice. A batch whose append may or may not have
//! succeeded is appended again under the same identifier; the fold accepts such repeats.

use std::collections::HashSet;

use uuid::Uuid;

use super::{
    ClaimBatch, ClaimDecision, ClaimEntry, ClaimFold, ClaimHolder, ClaimOutcome, ClaimStep,
    EntryKind, RequestKey,
};
use crate::names::{HostName, Incarnation};
use crate::time::UnixMillis;

/// Most entries that wait for a batch; the reply to further ones is `Overloaded`.
const QUEUE_LIMIT: usize = 4_096;
/// Most entries in one batch.
const BATCH_LIMIT: usize = 512;

/// Reply to a router that made or voided a claim.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum ClaimReply {
    /// The router may run the request.
    Granted,
    /// Another claim holds the request.
    Held {
        /// The granted claim and its router.
        holder: ClaimHolder,
    },
    /// The claim is void, or was refused because of a claim that has been voided since; a new
    /// claim may be granted.
    Voided,
    /// The time in the request id is outside the window.
    OutsideWindow,
    /// The log no longer has all records that may hold a claim of the request id.
    UnknownHistory,
    /// Too many entries wait for a batch; retry later.
    Overloaded,
}

/// Batches entries for one claim stream and replies to their routers.
#[derive(Debug)]
pub struct ClaimOwner {
    host: HostName,
    incarnation: Incarnation,
    fold: ClaimFold,
    /// Entries for the next batches, at most [`QUEUE_LIMIT`].
    queue: Vec<ClaimEntry>,
    /// Batch that is to be appended, or was, and has not been read back yet.
    in_flight: Option<ClaimBatch>,
    /// Entries whose routers wait for a reply.
    waiting: HashSet<(Uuid, EntryKind)>,
}

impl ClaimOwner {
    /// Creates the owner on `host` before the first record is read.
    pub fn new(shard: u16, host: &HostName, incarnation: Incarnation) -> Self {
        Self {
            host: host.clone(),
            incarnation,
            fold: ClaimFold::new(shard),
            queue: Vec::new(),
            in_flight: None,
            waiting: HashSet::new(),
        }
    }

    /// Fold of the records read so far.
    pub fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Continues at `offset`; see [`ClaimFold::skip_to`].
    pub fn skip_to(&mut self, offset: u64, lost_until: UnixMillis) {
        self.fold.skip_to(offset, lost_until);
    }

    /// Queues an entry for the next batch. Returns the reply if the records read so far decide it or
    /// the queue is full; the entry is not queued then. An entry that waits already is not
    /// queued again.
    pub fn submit(&mut self, entry: ClaimEntry) -> Option<ClaimReply> {
        if let Some(reply) = self.known_reply(&entry) {
            return Some(reply);
        }
        let entry_id = (entry.claim(), entry.kind());
        if self.waiting.contains(&entry_id) {
            return None;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return Some(ClaimReply::Overloaded);
        }
        self.waiting.insert(entry_id);
        self.queue.push(entry);
        None
    }

    /// Whether a batch waits to be appended or read back.
    pub fn has_work(&self) -> bool {
        self.in_flight.is_some() || !self.queue.is_empty()
    }

    /// Returns the batch to append now: the one not read back yet, else a new one with the
    /// identifier `batch`; `None` if no entry waits.
    pub fn next_batch(&mut self, batch: Uuid) -> Option<&ClaimBatch> {
        if self.in_flight.is_none() && !self.queue.is_empty() {
            let count = self.queue.len().min(BATCH_LIMIT);
            self.in_flight = Some(ClaimBatch {
                owner: self.host.clone(),
                incarnation: self.incarnation,
                batch,
                entries: self.queue.drain(..count).collect(),
            });
        }
        self.in_flight.as_ref()
    }

    /// Folds the record at `offset` and returns the replies that it decides.
    pub fn apply(
        &mut self,
        offset: u64,
        time: UnixMillis,
        data: &str,
    ) -> Vec<(ClaimDecision, ClaimReply)> {
        let ClaimStep::Folded { batch, decisions } = self.fold.apply(offset, time, data) else {
            return Vec::new();
        };
        if self
            .in_flight
            .as_ref()
            .is_some_and(|own| own.batch == batch)
        {
            self.in_flight = None;
        }
        let settled: Vec<_> = decisions
            .into_iter()
            .filter(|decision| self.waiting.remove(&(decision.claim, decision.kind)))
            .collect();
        settled
            .into_iter()
            .map(|decision| {
                let reply = self.reply(&decision.request, decision.outcome);
                (decision, reply)
            })
            .collect()
    }

    /// Stops waiting for the reply to an entry; the entry itself stays in the queue.
    pub fn forget(&mut self, claim: Uuid, kind: EntryKind) {
        self.waiting.remove(&(claim, kind));
    }

    /// Returns the reply to an entry if the records read so far decide it.
    pub fn known_reply(&self, entry: &ClaimEntry) -> Option<ClaimReply> {
        let request = entry.request();
        let outcome = self.fold.outcome(request, entry.claim());
        match (entry, outcome) {
            (ClaimEntry::Claim { .. }, Some(outcome)) => Some(self.reply(request, outcome)),
            (ClaimEntry::Void { .. }, Some(ClaimOutcome::Voided)) => Some(ClaimReply::Voided),
            (ClaimEntry::Void { .. }, _) => None,
            (ClaimEntry::Claim { .. }, None) => {
                let holder = self.fold.holder(request)?.clone();
                Some(ClaimReply::Held { holder })
            }
        }
    }

    fn reply(&self, request: &RequestKey, outcome: ClaimOutcome) -> ClaimReply {
        match outcome {
            ClaimOutcome::Granted => ClaimReply::Granted,
            ClaimOutcome::Voided => ClaimReply::Voided,
            ClaimOutcome::OutsideWindow => ClaimReply::OutsideWindow,
            ClaimOutcome::UnknownHistory => ClaimReply::UnknownHistory,
            ClaimOutcome::Held => match self.fold.holder(request) {
                Some(holder) => ClaimReply::Held {
                    holder: holder.clone(),
                },
                None => ClaimReply::Voided,
            },
        }
    }
}
