//! Fold of one claim stream.

use std::collections::{BTreeSet, HashMap};

use smallvec::SmallVec;
use uuid::Uuid;

use super::claim_window::{claimable, forget_after, surely_after};
use super::{ClaimBatch, ClaimEntry, EntryKind, RequestKey, shard_of};
use crate::names::{HostName, Incarnation};
use crate::time::UnixMillis;

closed_set! {
    /// What became of one claim.
    pub enum ClaimFate {
        /// It was the first unvoided one: its router may run the request.
        Granted,
        /// Another claim was granted before and not voided; this one is lost for good.
        Held,
        /// It was voided by its own id, possibly before it arrived.
        Voided,
        /// The id's time is outside the window at the log's time of the record.
        OutsideWindow,
        /// Records that may hold an earlier claim of the id are lost to this reader.
        UnknownHistory,
    }
}

/// Who holds a request.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ClaimHolder {
    /// Claim that was granted.
    pub claim: Uuid,
    /// Router host that may run the request.
    pub router: HostName,
    /// Life of that router's process.
    pub incarnation: Incarnation,
    /// Offset of the granting record.
    pub offset: u64,
}

/// What the fold decided about one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimDecision {
    /// Request of the entry.
    pub request: RequestKey,
    /// Claim of the entry.
    pub claim: Uuid,
    /// What the entry did.
    pub kind: EntryKind,
    /// Fate of the claim after the entry.
    pub fate: ClaimFate,
}

/// What one record did to the fold.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimStep {
    /// A batch was folded.
    Folded {
        /// Identifier of the batch.
        batch: Uuid,
        /// Decisions in the order of its entries; foreign entries have none.
        decisions: Vec<ClaimDecision>,
    },
    /// A record that is not a claim batch; it was counted and skipped.
    Foreign(String),
    /// A record that was folded before.
    Repeated,
}

/// Claims of one request.
#[derive(Debug, Clone)]
struct ClaimSlot {
    /// Holder of the request; its claim has the fate `Granted` in `fates`.
    holder: Option<ClaimHolder>,
    /// Fate of each claim seen; a repeated claim keeps its first fate.
    fates: SmallVec<[(Uuid, ClaimFate); 2]>,
}

/// Claims of one shard as folded so far.
#[derive(Debug, Clone)]
pub struct ClaimFold {
    shard: u16,
    /// Offset of the next record to fold.
    next: u64,
    /// Latest log time seen.
    latest: UnixMillis,
    /// Latest log time that a record unknown to this fold may have.
    lost_until: Option<UnixMillis>,
    slots: HashMap<RequestKey, ClaimSlot>,
    /// Slots in the order in which they are forgotten; holds the keys of `slots`.
    expiry: BTreeSet<(UnixMillis, RequestKey)>,
    foreign: u64,
    gaps: u64,
}

impl ClaimFold {
    /// A fold that has read nothing of the stream of `shard`.
    pub fn new(shard: u16) -> Self {
        Self {
            shard,
            next: 0,
            latest: UnixMillis(0),
            lost_until: None,
            slots: HashMap::new(),
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

    /// Number of requests remembered.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Number of records and entries that are not of this shard's claims.
    pub fn foreign(&self) -> u64 {
        self.foreign
    }

    /// Number of gaps: records that retention took before this fold read them.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Holder of `request`, if a granted claim is unvoided.
    pub fn holder(&self, request: &RequestKey) -> Option<&ClaimHolder> {
        self.slots.get(request)?.holder.as_ref()
    }

    /// Fate of `claim`, while it is remembered.
    pub fn fate(&self, request: &RequestKey, claim: Uuid) -> Option<ClaimFate> {
        self.slots.get(request)?.fate(claim)
    }

    /// Continues at `offset` without the records before it, the last of which the log may have
    /// taken as late as `lost_until`. Ids that these records may hold are granted no more.
    pub fn skip_to(&mut self, offset: u64, lost_until: UnixMillis) {
        if offset <= self.next {
            return;
        }
        self.next = offset;
        self.gaps += 1;
        self.lost_until = self.lost_until.max(Some(lost_until));
    }

    /// Folds the record at `offset`, which the log took at `time`.
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
        self.forget_expired();
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
                Some(fate) => decisions.push(ClaimDecision {
                    request: entry.request().clone(),
                    claim: entry.claim(),
                    kind: entry.kind(),
                    fate,
                }),
                None => self.foreign += 1,
            }
        }
        decisions
    }

    /// Returns `None` for an entry of another shard or without a timed id.
    fn apply_entry(
        &mut self,
        offset: u64,
        time: UnixMillis,
        entry: &ClaimEntry,
    ) -> Option<ClaimFate> {
        let request = entry.request();
        let id_time = UnixMillis(request.request.time_ms()?);
        if shard_of(&request.request) != self.shard {
            return None;
        }
        if !claimable(id_time, time) {
            return Some(ClaimFate::OutsideWindow);
        }
        if self
            .lost_until
            .is_some_and(|lost| !surely_after(id_time, lost))
        {
            return Some(ClaimFate::UnknownHistory);
        }
        let slot = self.slot(request, id_time);
        Some(match entry {
            ClaimEntry::Claim {
                claim,
                router,
                incarnation,
                ..
            } => slot.claim(ClaimHolder {
                claim: *claim,
                router: router.clone(),
                incarnation: *incarnation,
                offset,
            }),
            ClaimEntry::Void { claim, .. } => slot.void(*claim),
        })
    }

    fn slot(&mut self, request: &RequestKey, id_time: UnixMillis) -> &mut ClaimSlot {
        let expiry = &mut self.expiry;
        self.slots.entry(request.clone()).or_insert_with(|| {
            expiry.insert((forget_after(id_time), request.clone()));
            ClaimSlot {
                holder: None,
                fates: SmallVec::new(),
            }
        })
    }

    fn forget_expired(&mut self) {
        while let Some((time, _)) = self.expiry.first()
            && *time < self.latest
        {
            if let Some((_, request)) = self.expiry.pop_first() {
                self.slots.remove(&request);
            }
        }
    }
}

impl ClaimSlot {
    fn fate(&self, claim: Uuid) -> Option<ClaimFate> {
        let known = self.fates.iter().find(|(known, _)| *known == claim)?;
        Some(known.1)
    }

    fn claim(&mut self, holder: ClaimHolder) -> ClaimFate {
        if let Some(fate) = self.fate(holder.claim) {
            return fate;
        }
        let claim = holder.claim;
        let fate = if self.holder.is_none() {
            self.holder = Some(holder);
            ClaimFate::Granted
        } else {
            ClaimFate::Held
        };
        self.fates.push((claim, fate));
        fate
    }

    fn void(&mut self, claim: Uuid) -> ClaimFate {
        if self.holder.as_ref().is_some_and(|h| h.claim == claim) {
            self.holder = None;
        }
        match self.fates.iter_mut().find(|(known, _)| *known == claim) {
            Some(known) => known.1 = ClaimFate::Voided,
            None => self.fates.push((claim, ClaimFate::Voided)),
        }
        ClaimFate::Voided
    }
}
