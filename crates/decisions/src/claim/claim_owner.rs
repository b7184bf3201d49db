//! Owner of one claim stream: batches entries and answers each one from the log's order.
//!
//! An entry is answered only when its batch was read back, so that a second owner of the same
//! stream does no harm. A batch whose append is in doubt is appended again under its own
//! identifier, which the fold tolerates.

use std::collections::HashSet;

use uuid::Uuid;

use super::{
    ClaimBatch, ClaimDecision, ClaimEntry, ClaimFate, ClaimFold, ClaimHolder, ClaimStep, EntryKind,
    RequestKey,
};
use crate::names::{HostName, Incarnation};
use crate::time::UnixMillis;

/// Entries that may wait for a batch.
const QUEUE_LIMIT: usize = 4_096;
/// Entries of one batch.
const BATCH_LIMIT: usize = 512;

/// Answer to a router that made or voided a claim.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum ClaimReply {
    /// The router may run the request.
    Granted,
    /// Another claim holds the request.
    Held {
        /// Who holds it.
        holder: ClaimHolder,
    },
    /// The claim is void, or lost to one that was voided since; a new claim may win.
    Voided,
    /// The id's time is outside the window.
    OutsideWindow,
    /// The log no longer has all records that may hold the id.
    UnknownHistory,
    /// Too many entries wait; ask again later.
    Overloaded,
}

/// Owner of one claim stream.
#[derive(Debug)]
pub struct ClaimOwner {
    host: HostName,
    incarnation: Incarnation,
    fold: ClaimFold,
    /// Entries for the next batches, at most [`QUEUE_LIMIT`].
    queue: Vec<ClaimEntry>,
    /// Batch that was or will be appended and is not yet read back.
    flight: Option<ClaimBatch>,
    /// Entries whose routers wait for an answer.
    waiting: HashSet<(Uuid, EntryKind)>,
}

impl ClaimOwner {
    /// An owner on `host` that has read nothing yet.
    pub fn new(shard: u16, host: &HostName, incarnation: Incarnation) -> Self {
        Self {
            host: host.clone(),
            incarnation,
            fold: ClaimFold::new(shard),
            queue: Vec::new(),
            flight: None,
            waiting: HashSet::new(),
        }
    }

    /// What was read so far.
    pub fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Continues at `offset`; see [`ClaimFold::skip_to`].
    pub fn skip_to(&mut self, offset: u64, lost_until: UnixMillis) {
        self.fold.skip_to(offset, lost_until);
    }

    /// Takes an entry; returns its answer when no record is needed for it.
    pub fn submit(&mut self, entry: ClaimEntry) -> Option<ClaimReply> {
        if let Some(reply) = self.known_reply(&entry) {
            return Some(reply);
        }
        let ticket = (entry.claim(), entry.kind());
        if self.waiting.contains(&ticket) {
            return None;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return Some(ClaimReply::Overloaded);
        }
        self.waiting.insert(ticket);
        self.queue.push(entry);
        None
    }

    /// Whether a batch can be appended.
    pub fn has_work(&self) -> bool {
        self.flight.is_some() || !self.queue.is_empty()
    }

    /// Batch to append now: the one in doubt, else a new one under the identifier `batch`.
    pub fn next_batch(&mut self, batch: Uuid) -> Option<&ClaimBatch> {
        if self.flight.is_none() && !self.queue.is_empty() {
            let count = self.queue.len().min(BATCH_LIMIT);
            self.flight = Some(ClaimBatch {
                owner: self.host.clone(),
                incarnation: self.incarnation,
                batch,
                entries: self.queue.drain(..count).collect(),
            });
        }
        self.flight.as_ref()
    }

    /// Folds the record at `offset` and returns the answers that it settles.
    pub fn apply(
        &mut self,
        offset: u64,
        time: UnixMillis,
        data: &str,
    ) -> Vec<(ClaimDecision, ClaimReply)> {
        let ClaimStep::Folded { batch, decisions } = self.fold.apply(offset, time, data) else {
            return Vec::new();
        };
        if self.flight.as_ref().is_some_and(|own| own.batch == batch) {
            self.flight = None;
        }
        let settled: Vec<_> = decisions
            .into_iter()
            .filter(|decision| self.waiting.remove(&(decision.claim, decision.kind)))
            .collect();
        settled
            .into_iter()
            .map(|decision| {
                let reply = self.reply(&decision.request, decision.fate);
                (decision, reply)
            })
            .collect()
    }

    /// Stops waiting for the answer of an entry; the entry itself stays in the queue.
    pub fn forget(&mut self, claim: Uuid, kind: EntryKind) {
        self.waiting.remove(&(claim, kind));
    }

    /// Answer to an entry that needs no record.
    pub fn known_reply(&self, entry: &ClaimEntry) -> Option<ClaimReply> {
        let request = entry.request();
        let fate = self.fold.fate(request, entry.claim());
        match (entry, fate) {
            (ClaimEntry::Claim { .. }, Some(fate)) => Some(self.reply(request, fate)),
            (ClaimEntry::Void { .. }, Some(ClaimFate::Voided)) => Some(ClaimReply::Voided),
            (ClaimEntry::Void { .. }, _) => None,
            (ClaimEntry::Claim { .. }, None) => {
                let holder = self.fold.holder(request)?.clone();
                Some(ClaimReply::Held { holder })
            }
        }
    }

    fn reply(&self, request: &RequestKey, fate: ClaimFate) -> ClaimReply {
        match fate {
            ClaimFate::Granted => ClaimReply::Granted,
            ClaimFate::Voided => ClaimReply::Voided,
            ClaimFate::OutsideWindow => ClaimReply::OutsideWindow,
            ClaimFate::UnknownHistory => ClaimReply::UnknownHistory,
            ClaimFate::Held => match self.fold.holder(request) {
                Some(holder) => ClaimReply::Held {
                    holder: holder.clone(),
                },
                None => ClaimReply::Voided,
            },
        }
    }
}
