//! Records of the configuration stream.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{ConfigState, ObjectKey, ObjectSpec};
use crate::names::{HostName, VersionName};
use crate::time::UnixMillis;

/// One record of the configuration stream, written as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// Changes published by an operator.
    Change(ChangeSet),
    /// Folded state, appended before retention reaches it.
    Snapshot(SnapshotRecord),
    /// Stop of a roll-out by the guard.
    Trip(TripRecord),
}

value_type! {
    /// Changes that are accepted together or not at all.
    pub struct ChangeSet {
        /// Identifier chosen by the publisher; finds the change after a lost answer.
        pub id: Uuid,
        /// Who published the change.
        pub operator: String,
        /// When it was published.
        pub time: UnixMillis,
        /// Changes to single objects; no object occurs twice.
        pub changes: Vec<ObjectChange>,
    }

    /// Change of one object.
    pub struct ObjectChange {
        /// Object to change.
        pub key: ObjectKey,
        /// Revision that the publisher saw; `None` when the object never existed.
        pub base: Option<u64>,
        /// New content; `None` deletes the object.
        pub spec: Option<ObjectSpec>,
    }

    /// Folded state at an offset.
    pub struct SnapshotRecord {
        /// Offset of the last record that the state includes.
        pub as_of: u64,
        /// Hash of `state`, as [`ConfigState::hash`] gives it.
        pub hash: String,
        /// State after the record at `as_of`.
        pub state: ConfigState,
    }

    /// Stop of a roll-out; counts only while its epoch is current.
    pub struct TripRecord {
        /// Version that tripped.
        pub version: VersionName,
        /// Roll-out epoch that tripped.
        pub epoch: u64,
        /// Router host that appended the record.
        pub router: HostName,
        /// Evidence, in words.
        pub reason: String,
        /// When the guard tripped.
        pub time: UnixMillis,
    }
}
