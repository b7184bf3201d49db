//! Fold of the configuration stream: log order alone decides every verdict.

use std::collections::VecDeque;

use uuid::Uuid;

use super::validation::validate;
use super::{
    ChangeSet, ConfigError, ConfigRecord, ConfigState, ObjectKey, ObjectKind, ObjectSpec,
    SnapshotRecord, TripFact, TripRecord,
};

/// Verdicts and hashes kept for reading back, in records.
const HISTORY_LIMIT: usize = 1_024;

/// What the fold decided about one change set.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum ConfigVerdict {
    /// The change is part of the configuration.
    Accepted,
    /// Another change of the same object came first.
    Conflict {
        /// Object that both change.
        key: ObjectKey,
        /// Its revision when this change was read.
        current: Option<u64>,
    },
    /// The resulting state would not be valid.
    Invalid {
        /// The first problem found.
        problem: String,
    },
}

/// What one record did to the fold.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordOutcome {
    /// A change set was judged.
    Change(Uuid, ConfigVerdict),
    /// A trip took effect.
    Tripped(TripRecord),
    /// A trip of an epoch that is no longer current, or one already known.
    TripIgnored,
    /// A snapshot that agrees with this fold, or whose offset is no longer remembered.
    SnapshotSeen,
    /// A snapshot whose state differs from this fold's at the same offset.
    SnapshotMismatch(SnapshotRecord),
    /// A record that is not a configuration record.
    Foreign(String),
    /// A record that was folded before.
    Repeated,
    /// A record after a gap; nothing was folded.
    Gap {
        /// Offset that the fold needs next.
        expected: u64,
    },
}

/// The configuration as folded so far.
#[derive(Debug, Clone, Default)]
pub struct ConfigFold {
    state: ConfigState,
    /// Offset of the next record to fold; records are folded in order without gaps.
    next: u64,
    /// Hash of `state`, kept so that it is computed once a change.
    hash: String,
    /// Offsets at which the state changed with the hash from there on, oldest first.
    hashes: VecDeque<(u64, String)>,
    verdicts: VecDeque<(Uuid, u64, ConfigVerdict)>,
}

impl ConfigFold {
    /// A fold that has read nothing of a stream that starts at offset 0.
    pub fn new() -> Self {
        let state = ConfigState::default();
        let hash = state.hash();
        Self {
            state,
            hash,
            ..Self::default()
        }
    }

    /// A fold that continues after `snapshot`, which a reader takes from the log or from a peer.
    ///
    /// Returns `None` when the snapshot's state does not have the hash that it names.
    pub fn from_snapshot(snapshot: &SnapshotRecord) -> Option<Self> {
        if snapshot.state.hash() != snapshot.hash {
            return None;
        }
        Some(Self {
            state: snapshot.state.clone(),
            next: snapshot.as_of + 1,
            hash: snapshot.hash.clone(),
            hashes: VecDeque::from([(snapshot.as_of, snapshot.hash.clone())]),
            verdicts: VecDeque::new(),
        })
    }

    /// The present state.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Offset of the next record to fold.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Hash of the present state.
    pub fn hash(&self) -> &str {
        &self.hash
    }

    /// The present state as a snapshot; `None` before the first record.
    pub fn snapshot(&self) -> Option<SnapshotRecord> {
        Some(SnapshotRecord {
            as_of: self.next.checked_sub(1)?,
            hash: self.hash.clone(),
            state: self.state.clone(),
        })
    }

    /// Verdict on the change `id` with its offset, while it is remembered.
    pub fn verdict(&self, id: Uuid) -> Option<(u64, &ConfigVerdict)> {
        self.verdicts
            .iter()
            .find(|(known, _, _)| *known == id)
            .map(|(_, offset, verdict)| (*offset, verdict))
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: u64, data: &[u8]) -> RecordOutcome {
        if offset < self.next {
            return RecordOutcome::Repeated;
        }
        if offset > self.next {
            return RecordOutcome::Gap {
                expected: self.next,
            };
        }
        self.next = offset + 1;
        match serde_json::from_slice(data) {
            Ok(ConfigRecord::Change(change)) => self.apply_change(offset, &change),
            Ok(ConfigRecord::Trip(trip)) => self.apply_trip(offset, trip),
            Ok(ConfigRecord::Snapshot(snapshot)) => self.audit(snapshot),
            Err(error) => RecordOutcome::Foreign(error.to_string()),
        }
    }

    /// Judges `change` as if it were the next record, without folding it.
    pub fn judge(&self, change: &ChangeSet) -> ConfigVerdict {
        match self.changed_state(self.next, change) {
            Ok(_) => ConfigVerdict::Accepted,
            Err(verdict) => verdict,
        }
    }

    fn apply_change(&mut self, offset: u64, change: &ChangeSet) -> RecordOutcome {
        if self.verdict(change.id).is_some() {
            return RecordOutcome::Repeated;
        }
        let verdict = match self.changed_state(offset, change) {
            Ok(state) => {
                self.replace(offset, state);
                ConfigVerdict::Accepted
            }
            Err(verdict) => verdict,
        };
        self.verdicts
            .push_back((change.id, offset, verdict.clone()));
        if self.verdicts.len() > HISTORY_LIMIT {
            self.verdicts.pop_front();
        }
        RecordOutcome::Change(change.id, verdict)
    }

    fn changed_state(&self, offset: u64, change: &ChangeSet) -> Result<ConfigState, ConfigVerdict> {
        let mut state = self.state.clone();
        for single in &change.changes {
            let current = state.revision(&single.key);
            if single.base != current {
                return Err(ConfigVerdict::Conflict {
                    key: single.key.clone(),
                    current,
                });
            }
            state.put(&single.key, offset, single.spec.clone());
        }
        drop_lifted_trips(&mut state);
        let invalid = |error: ConfigError| ConfigVerdict::Invalid {
            problem: error.to_string(),
        };
        validate(&state).map_err(invalid)?;
        Ok(state)
    }

    fn apply_trip(&mut self, offset: u64, trip: TripRecord) -> RecordOutcome {
        let current = rollout_epoch(&self.state, trip.version.as_str());
        if current != Some(trip.epoch) || self.state.trips.contains_key(&trip.version) {
            return RecordOutcome::TripIgnored;
        }
        let fact = TripFact {
            epoch: trip.epoch,
            reason: trip.reason.clone(),
        };
        let mut state = self.state.clone();
        state.trips.insert(trip.version.clone(), fact);
        self.replace(offset, state);
        RecordOutcome::Tripped(trip)
    }

    fn audit(&self, snapshot: SnapshotRecord) -> RecordOutcome {
        let known = self
            .hashes
            .iter()
            .rev()
            .find(|(offset, _)| *offset <= snapshot.as_of);
        match known {
            Some((_, hash)) if *hash != snapshot.hash => RecordOutcome::SnapshotMismatch(snapshot),
            _ => RecordOutcome::SnapshotSeen,
        }
    }

    fn replace(&mut self, offset: u64, state: ConfigState) {
        self.hash = state.hash();
        self.state = state;
        self.hashes.push_back((offset, self.hash.clone()));
        if self.hashes.len() > HISTORY_LIMIT {
            self.hashes.pop_front();
        }
    }
}

/// Epoch of the roll-out that `version` is in.
fn rollout_epoch(state: &ConfigState, version: &str) -> Option<u64> {
    match state.spec(&ObjectKey::new(ObjectKind::Version, version))? {
        ObjectSpec::Version(spec) => Some(spec.rollout.as_ref()?.epoch),
        _ => None,
    }
}

/// Removes the trips whose version has left the epoch that tripped.
fn drop_lifted_trips(state: &mut ConfigState) {
    let lifted: Vec<_> = state
        .trips
        .iter()
        .filter(|(version, fact)| rollout_epoch(state, version.as_str()) != Some(fact.epoch))
        .map(|(version, _)| version.clone())
        .collect();
    for version in lifted {
        state.trips.remove(&version);
    }
}
