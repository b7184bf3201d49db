//! Fold of the configuration stream: every verdict depends on log order alone.

use std::collections::VecDeque;

use uuid::Uuid;

use super::validation::validate;
use super::{
    ChangeSet, ConfigError, ConfigRecord, ConfigState, ObjectKey, ObjectKind, ObjectSpec,
    SnapshotRecord, StoredTrip, TripRecord,
};

/// Most verdicts, and most hashes, kept for look-ups; one per record.
const HISTORY_LIMIT: usize = 1_024;

/// Verdict of the fold on one change set.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum ConfigVerdict {
    /// The change is accepted and part of the configuration.
    Accepted,
    /// An earlier record changed the same object.
    Conflict {
        /// Object changed by both records.
        key: ObjectKey,
        /// Revision of the object when this change was folded; `None` if it never existed.
        current: Option<u64>,
    },
    /// The change would make the state invalid.
    Invalid {
        /// First problem found.
        problem: String,
    },
}

/// Effect of one record on the fold.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordOutcome {
    /// A change set was accepted or refused. Holds its identifier and the verdict.
    Change(Uuid, ConfigVerdict),
    /// A trip of the current roll-out took effect.
    Tripped(TripRecord),
    /// A trip without effect: its epoch is not current, or the version has tripped already.
    TripIgnored,
    /// A snapshot whose hash equals this fold's, or whose offset is older than the hashes kept.
    SnapshotSeen,
    /// A snapshot whose hash differs from this fold's at the same offset.
    SnapshotMismatch(SnapshotRecord),
    /// The record is not a configuration record; it was skipped. Holds the parser's message.
    Foreign(String),
    /// The record was folded before, or its change set was.
    Repeated,
    /// Records before this one are missing; nothing was folded.
    Gap {
        /// Offset that the fold needs next.
        expected: u64,
    },
}

/// State of the configuration after the records folded so far.
#[derive(Debug, Clone, Default)]
pub struct ConfigFold {
    state: ConfigState,
    /// Offset of the next record to fold; records are folded in order without gaps.
    next: u64,
    /// Hash of `state`, stored so that it is computed once per change.
    hash: String,
    /// Offsets at which the state changed, with the hash after the change, oldest first.
    hashes: VecDeque<(u64, String)>,
    verdicts: VecDeque<(Uuid, u64, ConfigVerdict)>,
}

impl ConfigFold {
    /// Creates a fold before the first record of a stream that starts at offset 0.
    pub fn new() -> Self {
        let state = ConfigState::default();
        let hash = state.hash();
        Self {
            state,
            hash,
            ..Self::default()
        }
    }

    /// Creates a fold that continues after `snapshot`, which was read from the log or from a peer.
    ///
    /// Returns `None` if the hash of the snapshot's state differs from the hash in the snapshot.
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

    /// Present state.
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

    /// Returns the present state as a snapshot; `None` before the first record.
    pub fn snapshot(&self) -> Option<SnapshotRecord> {
        Some(SnapshotRecord {
            as_of: self.next.checked_sub(1)?,
            hash: self.hash.clone(),
            state: self.state.clone(),
        })
    }

    /// Verdict on the change `id` with its offset; `None` if it is unknown or no longer kept.
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
            Ok(ConfigRecord::Snapshot(snapshot)) => self.check_snapshot(snapshot),
            Err(error) => RecordOutcome::Foreign(error.to_string()),
        }
    }

    /// Returns the verdict on `change` as if it were the next record, without folding it.
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
        for object in &change.changes {
            let current = state.revision(&object.key);
            if object.base != current {
                return Err(ConfigVerdict::Conflict {
                    key: object.key.clone(),
                    current,
                });
            }
            state.put(&object.key, offset, object.spec.clone());
        }
        remove_ended_trips(&mut state);
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
        let stored = StoredTrip {
            epoch: trip.epoch,
            reason: trip.reason.clone(),
        };
        let mut state = self.state.clone();
        state.trips.insert(trip.version.clone(), stored);
        self.replace(offset, state);
        RecordOutcome::Tripped(trip)
    }

    fn check_snapshot(&self, snapshot: SnapshotRecord) -> RecordOutcome {
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

/// Epoch of the roll-out of `version`; `None` if it is in none.
fn rollout_epoch(state: &ConfigState, version: &str) -> Option<u64> {
    match state.spec(&ObjectKey::new(ObjectKind::Version, version))? {
        ObjectSpec::Version(spec) => Some(spec.rollout.as_ref()?.epoch),
        _ => None,
    }
}

/// Removes the trips whose version is no longer in the epoch that tripped.
fn remove_ended_trips(state: &mut ConfigState) {
    let ended: Vec<_> = state
        .trips
        .iter()
        .filter(|(version, trip)| rollout_epoch(state, version.as_str()) != Some(trip.epoch))
        .map(|(version, _)| version.clone())
        .collect();
    for version in ended {
        state.trips.remove(&version);
    }
}
