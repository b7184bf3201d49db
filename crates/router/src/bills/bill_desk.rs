//! Bills at this router: its own until they are on the log, and copies of others'.

use std::collections::HashMap;

use ferry_decisions::bill::BillEntry;
use ferry_decisions::claim::{RequestKey, SHARD_COUNT, shard_of};
use ferry_decisions::names::HostName;
use parking_lot::Mutex;

use super::bill_holds::BillHolds;
use super::bill_index::BillIndex;
use super::bill_message::BillAnswer;
use super::bill_shard::BillShard;

/// State of this router's part in the bills.
#[derive(Debug)]
pub struct BillDesk {
    /// Streams in the order of shards.
    shards: Vec<BillShard>,
    /// Own bills that are not on the log; the value says whether two peers hold a copy.
    unlogged: Mutex<HashMap<RequestKey, bool>>,
    holds: BillHolds,
    index: BillIndex,
}

impl Default for BillDesk {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(BillShard::new).collect(),
            unlogged: Mutex::default(),
            holds: BillHolds::default(),
            index: BillIndex::default(),
        }
    }
}

impl BillDesk {
    pub(super) fn shards(&self) -> &[BillShard] {
        &self.shards
    }

    pub(super) fn shard(&self, bill: &BillEntry) -> &BillShard {
        &self.shards[usize::from(shard_of(&bill.request))]
    }

    pub(super) fn holds(&self) -> &BillHolds {
        &self.holds
    }

    pub(super) fn index(&self) -> &BillIndex {
        &self.index
    }

    /// Number of own bills that are not on the log.
    pub fn unlogged(&self) -> usize {
        self.unlogged.lock().len()
    }

    /// Number of own bills that would be lost with this host.
    pub fn at_risk(&self) -> usize {
        let unlogged = self.unlogged.lock();
        unlogged.values().filter(|held| !**held).count()
    }

    /// Whether a bill of `key` is here and not known to be on the log.
    pub(super) fn has_unlogged(&self, key: &RequestKey) -> bool {
        self.unlogged.lock().contains_key(key) || self.holds.contains(key)
    }

    /// Holds a copy of `bill` for `origin`.
    pub(super) fn hold(&self, bill: BillEntry, origin: &HostName) -> BillAnswer {
        let key = RequestKey::new(&bill.workspace, &bill.request);
        if self.unlogged.lock().contains_key(&key) {
            return BillAnswer::AlreadyHeld;
        }
        self.holds.insert(bill, origin)
    }

    pub(super) fn begin(&self, key: &RequestKey) {
        self.unlogged.lock().insert(key.clone(), false);
    }

    pub(super) fn note_held(&self, key: &RequestKey) {
        if let Some(held) = self.unlogged.lock().get_mut(key) {
            *held = true;
        }
    }

    pub(super) fn note_logged(&self, key: &RequestKey) {
        self.unlogged.lock().remove(key);
    }
}
