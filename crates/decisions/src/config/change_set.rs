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
    /// Folded state, appended before retention deletes the records that it includes.
    Snapshot(SnapshotRecord),
    /// Trip: stop of a roll-out by the guard.
    Trip(TripRecord),
}

value_type! {
    /// Changes that are accepted or refused together.
    pub struct ChangeSet {
        /// Identifier chosen by the publisher, who looks up the verdict by it when the response to the
        /// append was lost.
        pub id: Uuid,
        /// Operator who published the change.
        pub operator: String,
        /// Time at which the change was published.
        pub time: UnixMillis,
        /// Changes of single objects; no object occurs twice.
        pub changes: Vec<ObjectChange>,
    }

    /// Change of one object.
    pub struct ObjectChange {
        /// Object to change.
        pub key: ObjectKey,
        /// Revision on which the publisher based the change; `None` if the object never existed.
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

    /// Stop of a roll-out; takes effect only while its epoch is current.
    pub struct TripRecord {
        /// Version whose roll-out was stopped.
        pub version: VersionName,
        /// Epoch of the roll-out that was stopped.
        pub epoch: u64,
        /// Router host that appended the record.
        pub router: HostName,
        /// Evidence for the stop, as text.
        pub reason: String,
        /// Time at which the guard tripped.
        pub time: UnixMillis,
    }
}
