//! Bills at this router: its own until they are on the log, and copies of other routers' bills.

use std::collections::HashMap;

use ferry_decisions::bill::BillEntry;
use ferry_decisions::claim::{RequestKey, SHARD_COUNT, shard_of};
use ferry_decisions::names::HostName;
use parking_lot::Mutex;

use super::bill_copy_store::BillCopyStore;
use super::bill_index::BillIndex;
use super::bill_message::BillAnswer;
use super::bill_shard::BillShard;

/// Bills and bill streams of this router.
#[derive(Debug)]
pub struct BillManager {
    /// Bill streams, indexed by shard.
    shards: Vec<BillShard>,
    /// This router's bills that are not on the log. The value is true once two peers hold a copy.
    unlogged: Mutex<HashMap<RequestKey, bool>>,
    copy_store: BillCopyStore,
    index: BillIndex,
}

impl Default for BillManager {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(BillShard::new).collect(),
            unlogged: Mutex::default(),
            copy_store: BillCopyStore::default(),
            index: BillIndex::default(),
        }
    }
}

impl BillManager {
    pub(super) fn shards(&self) -> &[BillShard] {
        &self.shards
    }

    pub(super) fn shard(&self, bill: &BillEntry) -> &BillShard {
        &self.shards[usize::from(shard_of(&bill.request))]
    }

    pub(super) fn copy_store(&self) -> &BillCopyStore {
        &self.copy_store
    }

    pub(super) fn index(&self) -> &BillIndex {
        &self.index
    }

    /// Number of this router's bills that are not on the log.
    pub fn unlogged(&self) -> usize {
        self.unlogged.lock().len()
    }

    /// Number of this router's bills that are neither on the log nor held by two peers, and would
    /// be lost with this host.
    pub fn at_risk(&self) -> usize {
        let unlogged = self.unlogged.lock();
        unlogged.values().filter(|held| !**held).count()
    }

    /// Whether this router has a bill of `key`, its own or a copy, that is not known to be on the
    /// log.
    pub(super) fn has_unlogged(&self, key: &RequestKey) -> bool {
        self.unlogged.lock().contains_key(key) || self.copy_store.contains(key)
    }

    /// Stores a copy of `bill` for `origin`, the router that answered the request.
    pub(super) fn hold(&self, bill: BillEntry, origin: &HostName) -> BillAnswer {
        let key = RequestKey::new(&bill.workspace, &bill.request);
        if self.unlogged.lock().contains_key(&key) {
            return BillAnswer::AlreadyHeld;
        }
        self.copy_store.insert(bill, origin)
    }

    pub(super) fn add_unlogged(&self, key: &RequestKey) {
        self.unlogged.lock().insert(key.clone(), false);
    }

    pub(super) fn record_held(&self, key: &RequestKey) {
        if let Some(held) = self.unlogged.lock().get_mut(key) {
            *held = true;
        }
    }

    pub(super) fn record_logged(&self, key: &RequestKey) {
        self.unlogged.lock().remove(key);
    }
}
