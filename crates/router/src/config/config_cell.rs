//! The configuration in force: readers take no lock, and each update replaces it atomically.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ferry_decisions::config::{
    ConfigFold, ConfigRecord, ConfigState, ConfigVerdict, ConfigView, RecordOutcome, SnapshotRecord,
};
use ferry_decisions::membership::ConfigPosition;
use ferry_decisions::time::UnixMillis;
use ferry_platform::log::LogRecord;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use uuid::Uuid;

use super::hash_audit::HashAudit;
use super::record_ring::RecordRing;
use super::{ConfigReply, SnapshotSchedule};

/// Fold of the configuration stream, and the view built from it.
#[derive(Debug)]
pub struct ConfigCell {
    /// Locked for updates and for reads of the fold; requests read `view`.
    folded: Mutex<FoldedLog>,
    view: ArcSwap<ConfigView>,
    /// Compares the configuration hash with those of other routers.
    pub audit: HashAudit,
    /// Signalled when another router has folded more records.
    pub behind: Notify,
}

/// The fold, the newest records that it includes, and the schedule of snapshots.
#[derive(Debug)]
struct FoldedLog {
    /// The folded state; its `next_offset` never decreases.
    fold: ConfigFold,
    /// Ends with the record before the fold's `next_offset`, or is empty.
    ring: RecordRing,
    schedule: SnapshotSchedule,
}

/// Position and hash of a router's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Offset of the next record to fold.
    pub next_offset: u64,
    /// Hash of the folded state.
    pub hash: String,
}

impl Default for ConfigCell {
    fn default() -> Self {
        let fold = ConfigFold::new();
        let view = ArcSwap::from_pointee(ConfigView::build(&fold));
        let folded = FoldedLog {
            fold,
            ring: RecordRing::default(),
            schedule: SnapshotSchedule::default(),
        };
        Self {
            folded: Mutex::new(folded),
            view,
            audit: HashAudit::default(),
            behind: Notify::new(),
        }
    }
}

impl ConfigCell {
    /// The configuration in force now.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// Folds `record` and makes the result the configuration in force.
    pub fn apply(&self, record: &LogRecord) -> RecordOutcome {
        let mut folded = self.folded.lock();
        let outcome = folded.fold.apply(record.offset, record.data.as_bytes());
        if record.offset + 1 == folded.fold.next_offset() {
            folded.retain_record(record);
        }
        self.view.store(Arc::new(ConfigView::build(&folded.fold)));
        outcome
    }

    /// Replaces the fold by `other`, which was folded from `records`, if `other` is further ahead;
    /// returns whether it was.
    pub fn adopt(&self, other: ConfigFold, records: &[LogRecord]) -> bool {
        let mut folded = self.folded.lock();
        if other.next_offset() <= folded.fold.next_offset() {
            return false;
        }
        folded.fold = other;
        folded.ring = RecordRing::default();
        for record in records {
            folded.retain_record(record);
        }
        self.view.store(Arc::new(ConfigView::build(&folded.fold)));
        true
    }

    /// Builds the reply to a router that needs the record `from` next: records or a snapshot.
    pub fn reply(&self, from: u64) -> ConfigReply {
        let folded = self.folded.lock();
        let records = folded.ring.since(from);
        let is_ahead = folded.fold.next_offset() > from;
        let snapshot = (records.is_none() && is_ahead).then(|| folded.fold.snapshot());
        ConfigReply {
            records: records.unwrap_or_default(),
            snapshot: snapshot.flatten(),
        }
    }

    /// Records the bounds of the stream that a read returned.
    pub fn record_bounds(&self, earliest: u64, next: u64) {
        self.folded.lock().schedule.record_bounds(earliest, next);
    }

    /// Whether a snapshot must be appended to a log that keeps records for `retention_ms`.
    pub fn snapshot_due(&self, now: UnixMillis, retention_ms: u64) -> bool {
        self.folded.lock().schedule.is_due(now, retention_ms)
    }

    /// Position and digest of the state, as sent in heartbeats.
    pub fn position(&self) -> ConfigPosition {
        let folded = self.folded.lock();
        ConfigPosition::new(folded.fold.next_offset(), folded.fold.hash())
    }

    /// Position and hash of the fold, for the status view.
    pub fn status(&self) -> ConfigStatus {
        let fold = &self.folded.lock().fold;
        ConfigStatus {
            next_offset: fold.next_offset(),
            hash: fold.hash().to_owned(),
        }
    }

    /// The folded state.
    pub fn state(&self) -> ConfigState {
        self.folded.lock().fold.state().clone()
    }

    /// The folded state as a snapshot; `None` before the first record.
    pub fn snapshot(&self) -> Option<SnapshotRecord> {
        self.folded.lock().fold.snapshot()
    }

    /// Offset and verdict of the change `id`; `None` if the fold does not remember it.
    pub fn verdict(&self, id: Uuid) -> Option<(u64, ConfigVerdict)> {
        let fold = &self.folded.lock().fold;
        let (offset, verdict) = fold.verdict(id)?;
        Some((offset, verdict.clone()))
    }
}

impl FoldedLog {
    /// Keeps a folded record for peers and for the snapshot schedule.
    fn retain_record(&mut self, record: &LogRecord) {
        self.ring.push(record);
        let as_of = match serde_json::from_str(&record.data) {
            Ok(ConfigRecord::Snapshot(snapshot)) => Some(snapshot.as_of),
            Ok(ConfigRecord::Change(_) | ConfigRecord::Trip(_)) | Err(_) => None,
        };
        self.schedule
            .observe_record(record.offset, record.time, as_of);
    }
}
