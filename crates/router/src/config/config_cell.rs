//! The configuration in force, read without locks and replaced whole.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ferry_decisions::config::{
    ConfigFold, ConfigState, ConfigVerdict, ConfigView, RecordOutcome, SnapshotRecord,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Fold of the configuration stream with the view built from it.
#[derive(Debug)]
pub struct ConfigCell {
    /// Locked for changes only; its `next_offset` never goes back.
    fold: Mutex<ConfigFold>,
    view: ArcSwap<ConfigView>,
}

/// How far the configuration of a router is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Offset of the next record to fold.
    pub next_offset: u64,
    /// Hash of the state.
    pub hash: String,
}

impl Default for ConfigCell {
    fn default() -> Self {
        let fold = ConfigFold::new();
        let view = ArcSwap::from_pointee(ConfigView::build(&fold));
        let fold = Mutex::new(fold);
        Self { fold, view }
    }
}

impl ConfigCell {
    /// The configuration in force now.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// Folds the record at `offset` and puts the result in force.
    pub fn apply(&self, offset: u64, data: &[u8]) -> RecordOutcome {
        let mut fold = self.fold.lock();
        let outcome = fold.apply(offset, data);
        self.view.store(Arc::new(ConfigView::build(&fold)));
        outcome
    }

    /// Takes over `other` if it has read further; returns whether it did.
    pub fn adopt(&self, other: ConfigFold) -> bool {
        let mut fold = self.fold.lock();
        if other.next_offset() <= fold.next_offset() {
            return false;
        }
        *fold = other;
        self.view.store(Arc::new(ConfigView::build(&fold)));
        true
    }

    /// How far the fold is.
    pub fn status(&self) -> ConfigStatus {
        let fold = self.fold.lock();
        ConfigStatus {
            next_offset: fold.next_offset(),
            hash: fold.hash().to_owned(),
        }
    }

    /// The folded state.
    pub fn state(&self) -> ConfigState {
        self.fold.lock().state().clone()
    }

    /// The folded state as a snapshot; `None` before the first record.
    pub fn snapshot(&self) -> Option<SnapshotRecord> {
        self.fold.lock().snapshot()
    }

    /// Verdict on the change `id` with its offset, while it is remembered.
    pub fn verdict(&self, id: Uuid) -> Option<(u64, ConfigVerdict)> {
        let fold = self.fold.lock();
        let (offset, verdict) = fold.verdict(id)?;
        Some((offset, verdict.clone()))
    }
}
