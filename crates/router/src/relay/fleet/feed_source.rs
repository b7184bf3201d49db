//! What this router knows of the store, numbered, for the routers that ask it.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use ferry_decisions::names::{HostName, Incarnation};
use ferry_decisions::roster::UpstreamRecord;
use ferry_platform::store::KeyedRecord;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::feed_message::{FeedChange, FeedChanges};
use super::peer_body;

/// Changes that are kept for routers that lag behind.
const CHANGE_LIMIT: usize = 512;

/// State and recent changes.
#[derive(Debug)]
pub struct FeedSource {
    /// This life of the router.
    life: String,
    state: Mutex<FeedState>,
    /// Number of the last change, to wake those that wait.
    revision: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct FeedState {
    revision: u64,
    operator: BTreeMap<String, FeedChange>,
    upstreams: BTreeMap<HostName, UpstreamRecord>,
    /// Latest changes, oldest first; the last one has the number `revision`.
    recent: VecDeque<FeedChange>,
    /// Everything, encoded as of a number; made when it is first asked for.
    whole: Option<(u64, Bytes)>,
}

impl Default for FeedSource {
    fn default() -> Self {
        Self {
            life: Incarnation::random().0.simple().to_string(),
            state: Mutex::default(),
            revision: watch::Sender::new(0),
        }
    }
}

impl FeedSource {
    /// This life of the router.
    pub fn life(&self) -> &str {
        &self.life
    }

    /// Changes with their numbers, to wait for.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Wakes those that wait, though nothing of the store changed.
    pub fn wake(&self) {
        self.revision.send_modify(|_| {});
    }

    /// Takes in a record of the operator; one that is known changes nothing.
    pub fn put_operator(&self, record: &KeyedRecord) {
        let change = FeedChange::Operator {
            key: record.key.clone(),
            offset: record.offset,
            value: record.value.clone(),
        };
        let mut state = self.state.lock();
        if state.operator.get(&record.key) == Some(&change) {
            return;
        }
        state.operator.insert(record.key.clone(), change.clone());
        self.push(&mut state, change);
    }

    /// Takes in the upstreams as they are now; those that did not change are passed over.
    pub fn put_upstreams<'a>(&self, records: impl Iterator<Item = &'a UpstreamRecord>) {
        let mut state = self.state.lock();
        let mut gone = std::mem::take(&mut state.upstreams);
        for record in records {
            let id = record.life.id.clone();
            let known = gone.remove(&id);
            if known.as_ref().is_none_or(|known| !is_alike(known, record)) {
                let change = FeedChange::Upstream(Box::new(record.clone()));
                self.push(&mut state, change);
            }
            state.upstreams.insert(id, record.clone());
        }
        for id in gone.into_keys() {
            self.push(&mut state, FeedChange::UpstreamGone(id));
        }
    }

    /// Number of the last change, and the changes after `revision` of the life `source`.
    pub fn changes_since(&self, source: &str, revision: u64) -> (u64, FeedChanges) {
        let mut state = self.state.lock();
        let missed = state.revision.checked_sub(revision);
        let kept = missed.filter(|missed| *missed <= state.recent.len() as u64);
        let changes = match kept.filter(|_| source == self.life) {
            Some(missed) => {
                let skipped = state.recent.len() - missed as usize;
                FeedChanges::Since(state.recent.iter().skip(skipped).cloned().collect())
            }
            None => FeedChanges::Whole(state.whole()),
        };
        (state.revision, changes)
    }

    fn push(&self, state: &mut FeedState, change: FeedChange) {
        state.revision += 1;
        state.recent.push_back(change);
        if state.recent.len() > CHANGE_LIMIT {
            state.recent.pop_front();
        }
        let revision = state.revision;
        self.revision.send_replace(revision);
    }
}

impl FeedState {
    /// Everything, encoded once for each number.
    fn whole(&mut self) -> Bytes {
        if let Some((revision, whole)) = &self.whole
            && *revision == self.revision
        {
            return whole.clone();
        }
        let upstreams = self.upstreams.values().cloned();
        let upstreams = upstreams.map(|record| FeedChange::Upstream(Box::new(record)));
        let changes: Vec<_> = self.operator.values().cloned().chain(upstreams).collect();
        let whole = peer_body::write(&changes, "the whole state").unwrap_or_default();
        self.whole = Some((self.revision, whole.clone()));
        whole
    }
}

/// Whether two entries differ in nothing that matters to requests.
fn is_alike(one: &UpstreamRecord, other: &UpstreamRecord) -> bool {
    one.life == other.life
        && one.stage == other.stage
        && one.address == other.address
        && one.service == other.service
        && one.version == other.version
}
