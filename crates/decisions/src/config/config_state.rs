//! Folded configuration: every object with its revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{ObjectKey, ObjectSpec};
use crate::names::VersionName;

/// All objects and trips after a record of the stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigState {
    /// Objects by `kind/name`. Deleted ones stay without content, so that a change based on an
    /// earlier revision still conflicts.
    pub objects: BTreeMap<String, StoredObject>,
    /// Tripped roll-outs by version.
    pub trips: BTreeMap<VersionName, StoredTrip>,
}

value_type! {
    /// One object with its revision.
    pub struct StoredObject {
        /// Identity of the object.
        pub key: ObjectKey,
        /// Offset of the record that last changed it.
        pub revision: u64,
        /// Content; `None` if the object is deleted.
        pub spec: Option<ObjectSpec>,
    }

    /// Trip that is in force, stored under the name of its version.
    pub struct StoredTrip {
        /// Epoch of the roll-out that was stopped.
        pub epoch: u64,
        /// Evidence for the stop, as text.
        pub reason: String,
    }
}

impl ConfigState {
    /// Current revision of the object `key`, deleted or not; `None` if it never existed.
    pub fn revision(&self, key: &ObjectKey) -> Option<u64> {
        self.stored(key).map(|object| object.revision)
    }

    /// Current content of the object `key`; `None` if it does not exist.
    pub fn spec(&self, key: &ObjectKey) -> Option<&ObjectSpec> {
        self.stored(key)?.spec.as_ref()
    }

    /// Stored object `key`, deleted or not; `None` if it never existed.
    pub fn stored(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(&key.to_string())
    }

    /// Objects that are not deleted, in the order of their keys.
    pub fn live(&self) -> impl Iterator<Item = (&ObjectKey, &ObjectSpec)> {
        self.objects
            .values()
            .filter_map(|object| Some((&object.key, object.spec.as_ref()?)))
    }

    /// SHA-256 digest of the state in its canonical JSON form, in hexadecimal.
    pub fn hash(&self) -> String {
        let text = serde_json::to_vec(self).expect("the state has only string keys");
        hex::encode(Sha256::digest(text))
    }

    pub(super) fn put(&mut self, key: &ObjectKey, revision: u64, spec: Option<ObjectSpec>) {
        let object = StoredObject {
            key: key.clone(),
            revision,
            spec,
        };
        self.objects.insert(key.to_string(), object);
    }
}
