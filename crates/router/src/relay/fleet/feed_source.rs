//! The store's content as known to this router, with numbered changes, for the routers that sync from
//! it.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use bytes::Bytes;
use ferry_decisions::names::{HostName, Incarnation};
use ferry_decisions::quarantine::{CrashRow, CrashRowKey};
use ferry_decisions::registry::UpstreamRecord;
use ferry_platform::store::KeyedRecord;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::feed_message::{FeedChange, FeedChanges};
use super::operator_records::{KnownOffsets, OperatorRecords};
use super::peer_body;
use super::record_patch::RecordPatch;

/// Number of recent changes that are kept; a router that lags further behind gets the full state.
const CHANGE_LIMIT: usize = 512;

/// Full state and recent changes.
#[derive(Debug)]
pub struct FeedSource {
    /// Incarnation of this router.
    incarnation: String,
    state: Mutex<FeedState>,
    /// Revision of the last change that wakes the tasks that wait for one.
    revision: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct FeedState {
    revision: u64,
    operator: OperatorRecords,
    upstreams: BTreeMap<HostName, UpstreamRecord>,
    crashes: BTreeMap<CrashRowKey, CrashRow>,
    /// Recent changes, oldest first; `revision` is the number of the last.
    recent: VecDeque<FeedChange>,
    /// Upstreams and crashes, encoded, and their revision; encoded at the first request for that revision.
    full_state: Option<(u64, Bytes)>,
}

impl Default for FeedSource {
    fn default() -> Self {
        Self {
            incarnation: Incarnation::random().0.simple().to_string(),
            state: Mutex::default(),
            revision: watch::Sender::new(0),
        }
    }
}

impl FeedSource {
    /// Incarnation of this router, to which the revisions belong.
    pub fn incarnation(&self) -> &str {
        &self.incarnation
    }

    /// Number of keys of the operator's records.
    pub fn operator_keys(&self) -> usize {
        self.state.lock().operator.len()
    }

    /// Receiver of the revision, to wait for changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Wakes the tasks that wait for a change, after a change outside the feed's content such as a new
    /// roll-out phase.
    pub fn wake(&self) {
        self.revision.send_modify(|_| {});
    }

    /// Stores a record of the operator, and wakes the tasks that wait for a change if it was not known.
    pub fn put_operator(&self, record: &KeyedRecord) {
        if self.state.lock().operator.put(record) {
            self.wake();
        }
    }

    /// Offsets of the operator's newest records.
    pub fn known_records(&self) -> KnownOffsets {
        self.state.lock().operator.known()
    }

    /// Whether a router that has the records `known` of the operator lacks one.
    pub fn has_news(&self, known: &KnownOffsets) -> bool {
        self.state.lock().operator.has_news(known)
    }

    /// Records of the operator that a router that has `known` lacks.
    pub fn record_patches(&self, known: &KnownOffsets) -> Vec<RecordPatch> {
        self.state.lock().operator.patches(known)
    }

    /// Restores a record of the operator that another router sent.
    ///
    /// # Errors
    ///
    /// Fails when it is a difference to a record that is not kept here, or malformed.
    pub fn restore_record(&self, patch: &RecordPatch) -> io::Result<KeyedRecord> {
        self.state.lock().operator.restore(patch)
    }

    /// Replaces the upstreams; entries that are equivalent to the known ones count as no change.
    pub fn put_upstreams<'a>(&self, records: impl Iterator<Item = &'a UpstreamRecord>) {
        let mut state = self.state.lock();
        let mut gone = std::mem::take(&mut state.upstreams);
        for record in records {
            let id = record.incarnation.id.clone();
            let known = gone.remove(&id);
            if known
                .as_ref()
                .is_none_or(|known| !is_equivalent(known, record))
            {
                let change = FeedChange::Upstream(Box::new(record.clone()));
                self.push(&mut state, change);
            }
            state.upstreams.insert(id, record.clone());
        }
        for id in gone.into_keys() {
            self.push(&mut state, FeedChange::UpstreamGone(id));
        }
    }

    /// Stores crash counts; rows that are already known count as no change. Wakes no task: they go out with the next
    /// answer, unless [`Self::wake`] is called.
    pub fn put_crashes(&self, rows: &[CrashRow]) {
        let mut state = self.state.lock();
        for row in rows {
            if state.crashes.get(&row.key) == Some(row) {
                continue;
            }
            state.crashes.insert(row.key.clone(), row.clone());
            state.push(FeedChange::Crashes(Box::new(row.clone())));
        }
    }

    /// Removes expired crash counts; the routers that sync from this one expire theirs by themselves.
    pub fn remove_crashes(&self, keys: &[CrashRowKey]) {
        let mut state = self.state.lock();
        for key in keys {
            state.crashes.remove(key);
        }
    }

    /// Returns the current revision, and the changes of upstreams and crashes after `revision` as counted by the incarnation
    /// `source`; their full state if that is another incarnation or the changes are no longer kept.
    pub fn changes_since(&self, source: &str, revision: u64) -> (u64, FeedChanges) {
        let mut state = self.state.lock();
        let missed = state.revision.checked_sub(revision);
        let kept = missed.filter(|missed| *missed <= state.recent.len() as u64);
        let changes = match kept.filter(|_| source == self.incarnation) {
            Some(missed) => {
                let skipped = state.recent.len() - missed as usize;
                FeedChanges::Since(state.recent.iter().skip(skipped).cloned().collect())
            }
            None => FeedChanges::Whole(state.encode_full()),
        };
        (state.revision, changes)
    }

    fn push(&self, state: &mut FeedState, change: FeedChange) {
        state.push(change);
        self.revision.send_replace(state.revision);
    }
}

impl FeedState {
    fn push(&mut self, change: FeedChange) {
        self.revision += 1;
        self.recent.push_back(change);
        if self.recent.len() > CHANGE_LIMIT {
            self.recent.pop_front();
        }
    }

    /// Upstreams and crashes, encoded once per revision.
    fn encode_full(&mut self) -> Bytes {
        if let Some((revision, encoded)) = &self.full_state
            && *revision == self.revision
        {
            return encoded.clone();
        }
        let upstreams = self.upstreams.values().cloned();
        let upstreams = upstreams.map(|record| FeedChange::Upstream(Box::new(record)));
        let crashes = self.crashes.values().cloned();
        let crashes = crashes.map(|row| FeedChange::Crashes(Box::new(row)));
        let changes: Vec<_> = upstreams.chain(crashes).collect();
        let encoded = peer_body::write(&changes, "the full state of the feed").unwrap_or_default();
        self.full_state = Some((self.revision, encoded.clone()));
        encoded
    }
}

/// Whether two entries are equal in all fields that affect requests.
fn is_equivalent(one: &UpstreamRecord, other: &UpstreamRecord) -> bool {
    one.incarnation == other.incarnation
        && one.stage == other.stage
        && one.address == other.address
        && one.service == other.service
        && one.version == other.version
}
