//! The store's content as known to this router, with numbered changes, for the routers that sync from
//! it.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::{HostName, Incarnation};
use ferry_decisions::quarantine::{CrashRow, CrashRowKey};
use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::topic::StoreEra;
use ferry_platform::store::KeyedRecord;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::feed_message::{FeedChange, FeedChanges};
use super::operator_records::{KnownRecords, OperatorRecords};
use super::peer_body;
use super::record_patch::RecordPatch;

/// Number of upstreams that are gone whose removal is kept; a router that lags further behind gets the full state.
const GONE_LIMIT: usize = 4_096;
/// Time by which an upstream must be cold for longer than the feed says to count as changed.
const COLD_TOLERANCE: Duration = Duration::from_millis(50);
/// Time for which the encoded full state is used while an upstream is cold: until then it says that it is cold for longer than it is.
const COLD_STATE_AGE: Duration = Duration::from_millis(500);

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
    /// Number of the last change.
    revision: u64,
    operator: OperatorRecords,
    /// Listed upstreams.
    upstreams: BTreeMap<HostName, FeedUpstream>,
    /// Upstreams that are gone with the revision of their removal, the oldest first; none that is listed again.
    gone: VecDeque<(HostName, u64)>,
    /// Revision up to which removals are no longer kept.
    forgotten: u64,
    /// Rows of crashes with the revision of their last change.
    crashes: BTreeMap<CrashRowKey, (CrashRow, u64)>,
    /// Upstreams and crashes, encoded at the first request for their revision.
    full_state: Option<FullState>,
}

/// An upstream of the feed.
#[derive(Debug)]
struct FeedUpstream {
    record: UpstreamRecord,
    /// End of the time for which it is cold.
    cold_until: MonotonicTime,
    /// Revision of its last change.
    revision: u64,
}

/// The encoded full state.
#[derive(Debug)]
struct FullState {
    revision: u64,
    encoded: Bytes,
    /// Time until which it may be used; absent if no upstream was cold.
    usable_until: Option<MonotonicTime>,
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

    /// Stores records of the operator that the store gave out in `era`, and wakes the tasks that wait for a change if one of them was not
    /// known.
    pub fn put_operator(&self, era: StoreEra, records: &[KeyedRecord]) {
        if self.state.lock().operator.put_all(era, records) {
            self.wake();
        }
    }

    /// Which of the operator's records are known here.
    pub fn known_records(&self) -> KnownRecords {
        self.state.lock().operator.known()
    }

    /// Whether a router that has the records `known` of the operator lacks one.
    pub fn has_news(&self, known: &KnownRecords) -> bool {
        self.state.lock().operator.has_news(known)
    }

    /// All records of the operator, as of `era`, that a router that has `known` lacks; `None` if they cannot be given, so that it must not take
    /// what it has for all.
    pub fn record_patches(&self, era: StoreEra, known: &KnownRecords) -> Option<Vec<RecordPatch>> {
        let operator = &mut self.state.lock().operator;
        if operator.era() != era {
            return None;
        }
        operator
            .patches(known)
            .inspect_err(|error| spdlog::error!("a record cannot be compressed: {}", error))
            .ok()
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
    ///
    /// `cold_left` tells how much longer an upstream is cold at `now`.
    pub fn put_upstreams<'a>(
        &self,
        records: impl Iterator<Item = &'a UpstreamRecord>,
        cold_left: impl Fn(&UpstreamIncarnation) -> Option<Duration>,
        now: MonotonicTime,
    ) {
        let mut state = self.state.lock();
        let before = state.revision;
        let mut gone = std::mem::take(&mut state.upstreams);
        for record in records {
            let id = record.incarnation.id.clone();
            let known = gone.remove(&id);
            let left = cold_left(&record.incarnation).unwrap_or_default();
            let cold_until = now.after(left);
            let unchanged = known.filter(|known| {
                let known_until = known.cold_until.max(now).after(COLD_TOLERANCE);
                is_equivalent(&known.record, record) && cold_until <= known_until
            });
            let revision = match unchanged {
                Some(known) => known.revision,
                None => state.next_revision(),
            };
            let upstream = FeedUpstream {
                record: record.clone(),
                cold_until,
                revision,
            };
            state.upstreams.insert(id, upstream);
        }
        state.remove_upstreams(gone.into_keys());
        if state.revision != before {
            self.revision.send_replace(state.revision);
        }
    }

    /// Stores crash counts; rows that are already known count as no change. Wakes no task: they go out with the next
    /// answer, unless [`Self::wake`] is called.
    pub fn put_crashes(&self, rows: &[CrashRow]) {
        let mut state = self.state.lock();
        for row in rows {
            let known = state.crashes.get(&row.key);
            if known.is_some_and(|(known, _)| known == row) {
                continue;
            }
            let revision = state.next_revision();
            state
                .crashes
                .insert(row.key.clone(), (row.clone(), revision));
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
    pub fn changes_since(
        &self,
        source: &str,
        revision: u64,
        now: MonotonicTime,
    ) -> (u64, FeedChanges) {
        let mut state = self.state.lock();
        let is_kept = (state.forgotten..=state.revision).contains(&revision);
        let changes = match is_kept && source == self.incarnation {
            true => FeedChanges::Since(state.changes_since(revision, now)),
            false => FeedChanges::Whole(state.encode_full(now)),
        };
        (state.revision, changes)
    }
}

impl FeedState {
    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Records that upstreams are gone, and that those that are listed now are not.
    fn remove_upstreams(&mut self, ids: impl Iterator<Item = HostName>) {
        let listed = &self.upstreams;
        self.gone.retain(|(id, _)| !listed.contains_key(id));
        for id in ids {
            let revision = self.next_revision();
            self.gone.push_back((id, revision));
        }
        while self.gone.len() > GONE_LIMIT {
            let oldest = self.gone.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |(_, revision)| revision);
        }
    }

    /// The newest state of each upstream and row that changed after `revision`, once each.
    fn changes_since(&self, revision: u64, now: MonotonicTime) -> Vec<FeedChange> {
        let upstreams = self.upstreams.values();
        let upstreams = upstreams.filter(|upstream| upstream.revision > revision);
        let upstreams = upstreams.map(|upstream| upstream.change(now));
        let gone = self.gone.iter().filter(|(_, at)| *at > revision);
        let gone = gone.map(|(id, _)| FeedChange::UpstreamGone(id.clone()));
        let crashes = self.crashes.values().filter(|(_, at)| *at > revision);
        let crashes = crashes.map(|(row, _)| FeedChange::Crashes(Box::new(row.clone())));
        upstreams.chain(gone).chain(crashes).collect()
    }

    /// Upstreams and crashes, encoded once per revision.
    fn encode_full(&mut self, now: MonotonicTime) -> Bytes {
        if let Some(state) = &self.full_state
            && state.revision == self.revision
            && state.usable_until.is_none_or(|until| now < until)
        {
            return state.encoded.clone();
        }
        let is_cold = self
            .upstreams
            .values()
            .any(|upstream| upstream.cold_until > now);
        let upstreams = self.upstreams.values();
        let upstreams = upstreams.map(|upstream| upstream.change(now));
        let crashes = self.crashes.values();
        let crashes = crashes.map(|(row, _)| FeedChange::Crashes(Box::new(row.clone())));
        let changes: Vec<_> = upstreams.chain(crashes).collect();
        let encoded = peer_body::write(&changes, "the full state of the feed").unwrap_or_default();
        self.full_state = Some(FullState {
            revision: self.revision,
            encoded: encoded.clone(),
            usable_until: is_cold.then(|| now.after(COLD_STATE_AGE)),
        });
        encoded
    }
}

impl FeedUpstream {
    /// Its entry, with the time for which it is cold from `now` on.
    fn change(&self, now: MonotonicTime) -> FeedChange {
        FeedChange::Upstream(Box::new(UpstreamRecord {
            warm_up: self.cold_until.since(now),
            ..self.record.clone()
        }))
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
