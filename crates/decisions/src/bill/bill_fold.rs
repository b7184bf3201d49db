//! Fold of one bill stream: sums up the first bill of each request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use super::{AnomalyCounts, BillBatch, BillEntry, WorkspaceTotal};
use super::{LedgerCheckpoint, RememberedBill};
use crate::claim::{RequestKey, shard_of};
use crate::names::{RequestId, WorkspaceName};
use crate::time::UnixMillis;

/// Longest time from the end of an answer to the log's time of its bill, in milliseconds. A later
/// bill can't be distinguished from a repeat: it is listed and not counted.
pub const BILL_WINDOW_MS: u64 = 24 * 60 * 60 * 1_000;
/// Greatest tolerated backward step of the log's clock, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 60 * 1_000;
/// Most anomalies that one shard lists; further ones are only counted.
const LISTED_LIMIT: usize = 64;

/// Irregularity in a bill stream that billing staff should look at.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "anomaly", rename_all = "snake_case")]
pub enum BillAnomaly {
    /// A repeat whose content differs from the bill that counts.
    RepeatDiffers {
        /// Shard of the stream.
        shard: u16,
        /// Offset of the repeat.
        offset: u64,
        /// Offset of the bill that counts.
        first: u64,
        /// Workspace of both.
        workspace: WorkspaceName,
        /// Request of both.
        request: RequestId,
    },
    /// A bill appended more than [`BILL_WINDOW_MS`] after its answer, which can't be distinguished
    /// from a repeat; not counted.
    Late {
        /// Shard of the stream.
        shard: u16,
        /// Offset of the bill.
        offset: u64,
        /// Workspace of the bill.
        workspace: WorkspaceName,
        /// Request of the bill.
        request: RequestId,
    },
    /// A bill whose request belongs to another shard; not counted.
    WrongShard {
        /// Shard of the stream.
        shard: u16,
        /// Offset of the bill.
        offset: u64,
        /// Request of the bill.
        request: RequestId,
    },
    /// A record that is not a batch of bills.
    Foreign {
        /// Shard of the stream.
        shard: u16,
        /// Offset of the record.
        offset: u64,
        /// Message of the parser.
        problem: String,
    },
    /// Records that were not read, since the log no longer kept them or the reader started after
    /// them.
    Gap {
        /// Shard of the stream.
        shard: u16,
        /// Offset of the first lost record.
        from: u64,
        /// Offset after the last lost record.
        to: u64,
    },
}

closed_set! {
    /// Decision of the fold on one bill.
    pub enum BillDecision {
        /// First bill of its request: it counts.
        Counted,
        /// Repeat with the same content as the bill that counts.
        Repeat,
        /// Repeat with other content than the bill that counts.
        RepeatDiffers,
        /// Appended more than [`BILL_WINDOW_MS`] after the answer.
        Late,
        /// Its request belongs to another shard.
        WrongShard,
    }
}

/// Effect of one record on the fold.
#[derive(Debug, Clone, PartialEq)]
pub enum BillStep {
    /// A batch was folded.
    Folded {
        /// Identifier of the batch.
        batch: Uuid,
        /// Decisions in the order of the bills.
        decisions: SmallVec<[BillDecision; 4]>,
    },
    /// The record is not a batch of bills; it was counted and skipped.
    Foreign,
    /// The record was folded before.
    Repeated,
}

/// Bills of one shard as folded so far.
#[derive(Debug, Clone)]
pub struct BillFold {
    shard: u16,
    /// Offset of the next record to fold.
    next: u64,
    /// Latest log time of the records folded.
    latest: UnixMillis,
    totals: BTreeMap<WorkspaceName, WorkspaceTotal>,
    /// Bills that may still be repeated, by the digest of their key.
    remembered: HashMap<String, RememberedBill>,
    /// Keys of `remembered`, ordered by the log time after which they are removed.
    expiry: BTreeSet<(UnixMillis, String)>,
    counts: AnomalyCounts,
    /// First anomalies, at most [`LISTED_LIMIT`].
    listed: Vec<BillAnomaly>,
}

impl BillFold {
    /// Creates a fold before the first record of the stream of `shard`.
    pub fn new(shard: u16) -> Self {
        Self {
            shard,
            next: 0,
            latest: UnixMillis(0),
            totals: BTreeMap::new(),
            remembered: HashMap::new(),
            expiry: BTreeSet::new(),
            counts: AnomalyCounts::default(),
            listed: Vec::new(),
        }
    }

    /// Creates a fold that continues after `checkpoint`.
    pub fn from_checkpoint(checkpoint: LedgerCheckpoint) -> Self {
        let expiry = checkpoint
            .remembered
            .iter()
            .map(|bill| (bill.until, bill.key.clone()))
            .collect();
        let remembered = checkpoint
            .remembered
            .into_iter()
            .map(|bill| (bill.key.clone(), bill))
            .collect();
        Self {
            shard: checkpoint.shard,
            next: checkpoint.next,
            latest: checkpoint.latest,
            totals: checkpoint.totals,
            remembered,
            expiry,
            counts: checkpoint.counts,
            listed: checkpoint.listed,
        }
    }

    /// Returns the present state; equal folds give equal checkpoints.
    pub fn checkpoint(&self) -> LedgerCheckpoint {
        let mut remembered: Vec<_> = self.remembered.values().cloned().collect();
        remembered.sort_by(|a, b| a.key.cmp(&b.key));
        LedgerCheckpoint {
            shard: self.shard,
            next: self.next,
            latest: self.latest,
            totals: self.totals.clone(),
            remembered,
            counts: self.counts,
            listed: self.listed.clone(),
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

    /// Billed totals of each workspace.
    pub fn totals(&self) -> &BTreeMap<WorkspaceName, WorkspaceTotal> {
        &self.totals
    }

    /// Number of anomalies of each kind.
    pub fn counts(&self) -> &AnomalyCounts {
        &self.counts
    }

    /// First anomalies in log order; their number is limited.
    pub fn listed(&self) -> &[BillAnomaly] {
        &self.listed
    }

    /// Offset of the bill of `key` that counts; `None` if there is none or it was removed after its
    /// window.
    pub fn billed_at(&self, key: &RequestKey) -> Option<u64> {
        let bill = self.remembered.get(&request_digest(key))?;
        Some(bill.offset)
    }

    /// Continues at `offset`; the records before it are deleted or irrelevant to the reader.
    pub fn skip_to(&mut self, offset: u64) {
        if offset <= self.next {
            return;
        }
        self.counts.gaps += 1;
        self.list_anomaly(BillAnomaly::Gap {
            shard: self.shard,
            from: self.next,
            to: offset,
        });
        self.next = offset;
    }

    /// Folds the record at `offset`, which was appended at the log time `time`.
    pub fn apply(&mut self, offset: u64, time: UnixMillis, data: &str) -> BillStep {
        if offset < self.next {
            return BillStep::Repeated;
        }
        self.skip_to(offset);
        self.next = offset + 1;
        self.latest = self.latest.max(time);
        let step = match serde_json::from_str::<BillBatch>(data) {
            Ok(batch) => BillStep::Folded {
                batch: batch.batch,
                decisions: batch
                    .bills
                    .iter()
                    .map(|bill| self.apply_bill(offset, time, bill))
                    .collect(),
            },
            Err(error) => self.skip_foreign(offset, &error),
        };
        self.remove_expired();
        step
    }

    fn skip_foreign(&mut self, offset: u64, error: &serde_json::Error) -> BillStep {
        self.counts.foreign += 1;
        self.list_anomaly(BillAnomaly::Foreign {
            shard: self.shard,
            offset,
            problem: error.to_string(),
        });
        BillStep::Foreign
    }

    fn apply_bill(&mut self, offset: u64, time: UnixMillis, bill: &BillEntry) -> BillDecision {
        if shard_of(&bill.request) != self.shard {
            return self.record_decision(offset, 0, bill, BillDecision::WrongShard);
        }
        if time.since(bill.time) > BILL_WINDOW_MS {
            return self.record_decision(offset, 0, bill, BillDecision::Late);
        }
        let key = request_digest(&RequestKey::new(&bill.workspace, &bill.request));
        let content = content_digest(bill);
        if let Some(known) = self.remembered.get(&key) {
            let first = known.offset;
            let decision = if known.content == content {
                BillDecision::Repeat
            } else {
                BillDecision::RepeatDiffers
            };
            return self.record_decision(offset, first, bill, decision);
        }
        let until = bill.time.plus_ms(BILL_WINDOW_MS + CLOCK_MARGIN_MS);
        self.expiry.insert((until, key.clone()));
        let remembered = RememberedBill {
            key: key.clone(),
            content,
            until,
            offset,
        };
        self.remembered.insert(key, remembered);
        self.totals
            .entry(bill.workspace.clone())
            .or_default()
            .add(bill);
        BillDecision::Counted
    }

    /// Updates the anomaly counts for a bill that is not added to a total, and lists it if billing
    /// staff should look at it. Returns `decision`.
    fn record_decision(
        &mut self,
        offset: u64,
        first: u64,
        bill: &BillEntry,
        decision: BillDecision,
    ) -> BillDecision {
        let shard = self.shard;
        let workspace = bill.workspace.clone();
        let request = bill.request.clone();
        match decision {
            BillDecision::Counted => {}
            BillDecision::Repeat => self.counts.repeats += 1,
            BillDecision::RepeatDiffers => {
                self.counts.repeats_that_differ += 1;
                self.list_anomaly(BillAnomaly::RepeatDiffers {
                    shard,
                    offset,
                    first,
                    workspace,
                    request,
                });
            }
            BillDecision::Late => {
                self.counts.late += 1;
                self.list_anomaly(BillAnomaly::Late {
                    shard,
                    offset,
                    workspace,
                    request,
                });
            }
            BillDecision::WrongShard => {
                self.counts.wrong_shard += 1;
                self.list_anomaly(BillAnomaly::WrongShard {
                    shard,
                    offset,
                    request,
                });
            }
        }
        decision
    }

    fn list_anomaly(&mut self, anomaly: BillAnomaly) {
        if self.listed.len() < LISTED_LIMIT {
            self.listed.push(anomaly);
        }
    }

    fn remove_expired(&mut self) {
        while let Some((until, _)) = self.expiry.first()
            && *until < self.latest
        {
            if let Some((_, key)) = self.expiry.pop_first() {
                self.remembered.remove(&key);
            }
        }
    }
}

/// First 16 bytes of the SHA-256 digest of a request's key, in hexadecimal: callers can't construct a
/// collision.
fn request_digest(key: &RequestKey) -> String {
    let mut hasher = Sha256::new();
    hasher.update((key.workspace.as_str().len() as u64).to_be_bytes());
    hasher.update(key.workspace.as_str());
    hasher.update(key.request.as_str());
    hex::encode(&hasher.finalize()[..16])
}

/// Digest that distinguishes a repeat from a bill with other content.
fn content_digest(bill: &BillEntry) -> u64 {
    xxh3_64(&serde_json::to_vec(bill).unwrap_or_default())
}
