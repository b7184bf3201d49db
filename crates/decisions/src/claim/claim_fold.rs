//! Fold of one claim stream: decides every claim from the records in log order.

use std::collections::{BTreeSet, HashMap};

use smallvec::SmallVec;
use uuid::Uuid;

use super::claim_window::{claimable_until, is_claimable, is_newer_than_lost_records};
use super::{ClaimBatch, ClaimEntry, EntryKind, RequestKey, shard_of};
use crate::names::{HostName, Incarnation};
use crate::time::UnixMillis;

closed_set! {
    /// Outcome of one claim.
    pub enum ClaimOutcome {
        /// First unvoided claim of the request: its router may run the request.
        Granted,
        /// An earlier claim was granted and not voided; this one can never be granted.
        Held,
        /// Voided by its own claim id, possibly before the claim's record was appended.
        Voided,
        /// The time in the request id is outside the window at the log's time of the record.
        OutsideWindow,
        /// Records that may hold an earlier claim of the request id are not available to this reader.
        UnknownHistory,
    }
}

/// Granted claim of a request, with the router process that may run it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ClaimHolder {
    /// Identifier of the granted claim.
    pub claim: Uuid,
    /// Router host that may run the request.
    pub router: HostName,
    /// Incarnation of that router's process.
    pub incarnation: Incarnation,
    /// Offset of the record that holds the claim.
    pub offset: u64,
}

/// Decision of the fold on one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimDecision {
    /// Request of the entry.
    pub request: RequestKey,
    /// Identifier of the claim that the entry makes or voids.
    pub claim: Uuid,
    /// Whether the entry makes or voids a claim.
    pub kind: EntryKind,
    /// Outcome of the claim after the entry.
    pub outcome: ClaimOutcome,
}

/// Effect of one record on the fold.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimStep {
    /// A batch was folded.
    Folded {
        /// Identifier of the batch.
        batch: Uuid,
        /// Decisions in the order of the entries; entries of other shards and entries whose
        /// request id holds no time have none.
        decisions: Vec<ClaimDecision>,
    },
    /// The record is not a claim batch; it was counted and skipped. Holds the parser's message.
    Foreign(String),
    /// The record was folded before.
    Repeated,
}

/// Claims of one request.
#[derive(Debug, Clone)]
struct RequestClaims {
    /// Holder of the request; its claim has the outcome `Granted` in `outcomes`.
    holder: Option<ClaimHolder>,
    /// Outcome of each known claim; a repeated claim keeps its first outcome.
    outcomes: SmallVec<[(Uuid, ClaimOutcome); 2]>,
}

/// State of the claims of one shard after the records folded so far.
#[derive(Debug, Clone)]
pub struct ClaimFold {
    shard: u16,
    /// Offset of the next record to fold.
    next: u64,
    /// Latest log time of the records folded.
    latest: UnixMillis,
    /// Latest log time of a record that this fold skipped; `None` if it skipped none.
    lost_until: Option<UnixMillis>,
    requests: HashMap<RequestKey, RequestClaims>,
    /// Keys of `requests`, ordered by the log time after which they are removed.
    expiry: BTreeSet<(UnixMillis, RequestKey)>,
    foreign: u64,
    gaps: u64,
}

impl ClaimFold {
    /// Creates a fold before the first record of the stream of `shard`.
    pub fn new(shard: u16) -> Self {
        Self {
            shard,
            next: 0,
            latest: UnixMillis(0),
            lost_until: None,
            requests: HashMap::new(),
            expiry: BTreeSet::new(),
            foreign: 0,
            gaps: 0,
        }
    }

    /// Shard of the stream.
    pub fn shard(&self) -> u16 {
        self.shard
    }

    /// Offset of the next record to fold.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Number of requests with known claims.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request has known claims.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of records that are not claim batches, and of entries that were ignored because they
    /// belong to another shard or their request id holds no time.
    pub fn foreign(&self) -> u64 {
        self.foreign
    }

    /// Number of gaps: ranges of records that were skipped because retention deleted them or because
    /// they are older than the time that a new owner reads back.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Holder of `request`; `None` if no claim of it was granted, each granted one was voided, or the
    /// claims were removed after their window.
    pub fn holder(&self, request: &RequestKey) -> Option<&ClaimHolder> {
        self.requests.get(request)?.holder.as_ref()
    }

    /// Outcome of `claim`; `None` if it is unknown or was removed after its window.
    pub fn outcome(&self, request: &RequestKey, claim: Uuid) -> Option<ClaimOutcome> {
        self.requests.get(request)?.outcome(claim)
    }

    /// Continues at `offset` without the records before it, the last of which may have been
    /// appended as late as the log time `lost_until`. Request ids that these records may hold are
    /// not granted any more.
    pub fn skip_to(&mut self, offset: u64, lost_until: UnixMillis) {
        if offset <= self.next {
            return;
        }
        self.next = offset;
        self.gaps += 1;
        self.lost_until = self.lost_until.max(Some(lost_until));
    }

    /// Folds the record at `offset`, which was appended at the log time `time`.
    pub fn apply(&mut self, offset: u64, time: UnixMillis, data: &str) -> ClaimStep {
        if offset < self.next {
            return ClaimStep::Repeated;
        }
        self.skip_to(offset, time);
        self.next = offset + 1;
        self.latest = self.latest.max(time);
        let step = match serde_json::from_str::<ClaimBatch>(data) {
            Ok(batch) => ClaimStep::Folded {
                batch: batch.batch,
                decisions: self.apply_batch(offset, time, &batch),
            },
            Err(error) => {
                self.foreign += 1;
                ClaimStep::Foreign(error.to_string())
            }
        };
        self.remove_expired();
        step
    }

    fn apply_batch(
        &mut self,
        offset: u64,
        time: UnixMillis,
        batch: &ClaimBatch,
    ) -> Vec<ClaimDecision> {
        let mut decisions = Vec::new();
        for entry in &batch.entries {
            match self.apply_entry(offset, time, entry) {
                Some(outcome) => decisions.push(ClaimDecision {
                    request: entry.request().clone(),
                    claim: entry.claim(),
                    kind: entry.kind(),
                    outcome,
                }),
                None => self.foreign += 1,
            }
        }
        decisions
    }

    /// Returns `None` for an entry of another shard or one whose request id holds no time.
    fn apply_entry(
        &mut self,
        offset: u64,
        time: UnixMillis,
        entry: &ClaimEntry,
    ) -> Option<ClaimOutcome> {
        let request = entry.request();
        let id_time = UnixMillis(request.request.time_ms()?);
        if shard_of(&request.request) != self.shard {
            return None;
        }
        if !is_claimable(id_time, time) {
            return Some(ClaimOutcome::OutsideWindow);
        }
        if self
            .lost_until
            .is_some_and(|lost| !is_newer_than_lost_records(id_time, lost))
        {
            return Some(ClaimOutcome::UnknownHistory);
        }
        let claims = self.claims_of(request, id_time);
        Some(match entry {
            ClaimEntry::Claim {
                claim,
                router,
                incarnation,
                ..
            } => claims.claim(ClaimHolder {
                claim: *claim,
                router: router.clone(),
                incarnation: *incarnation,
                offset,
            }),
            ClaimEntry::Void { claim, .. } => claims.void(*claim),
        })
    }

    fn claims_of(&mut self, request: &RequestKey, id_time: UnixMillis) -> &mut RequestClaims {
        let expiry = &mut self.expiry;
        self.requests.entry(request.clone()).or_insert_with(|| {
            expiry.insert((claimable_until(id_time), request.clone()));
            RequestClaims {
                holder: None,
                outcomes: SmallVec::new(),
            }
        })
    }

    fn remove_expired(&mut self) {
        while let Some((time, _)) = self.expiry.first()
            && *time < self.latest
        {
            if let Some((_, request)) = self.expiry.pop_first() {
                self.requests.remove(&request);
            }
        }
    }
}

impl RequestClaims {
    fn outcome(&self, claim: Uuid) -> Option<ClaimOutcome> {
        let known = self.outcomes.iter().find(|(known, _)| *known == claim)?;
        Some(known.1)
    }

    fn claim(&mut self, holder: ClaimHolder) -> ClaimOutcome {
        if let Some(outcome) = self.outcome(holder.claim) {
            return outcome;
        }
        let claim = holder.claim;
        let outcome = if self.holder.is_none() {
            self.holder = Some(holder);
            ClaimOutcome::Granted
        } else {
            ClaimOutcome::Held
        };
        self.outcomes.push((claim, outcome));
        outcome
    }

    fn void(&mut self, claim: Uuid) -> ClaimOutcome {
        if self.holder.as_ref().is_some_and(|h| h.claim == claim) {
            self.holder = None;
        }
        match self.outcomes.iter_mut().find(|(known, _)| *known == claim) {
            Some(known) => known.1 = ClaimOutcome::Voided,
            None => self.outcomes.push((claim, ClaimOutcome::Voided)),
        }
        ClaimOutcome::Voided
    }
}
