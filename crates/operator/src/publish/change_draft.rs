//! A change set under construction, based on the configuration that its author saw.

use ferry_decisions::config::{
    ChangeSet, ConfigFold, ConfigState, ConfigVerdict, ObjectChange, ObjectKey, ObjectSpec,
    SnapshotRecord,
};
use ferry_kernel::wall_clock;
use uuid::Uuid;

use super::PublishError;

/// Object changes, each with the revision of the object that its author saw.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeDraft {
    /// Configuration that the author saw.
    base_state: ConfigState,
    changes: Vec<ObjectChange>,
}

impl ChangeDraft {
    /// Creates a draft without changes, based on `base`; `None` stands for an empty configuration.
    pub fn new(base: Option<&SnapshotRecord>) -> Self {
        Self {
            base_state: base
                .map(|snapshot| snapshot.state.clone())
                .unwrap_or_default(),
            changes: Vec::new(),
        }
    }

    /// Content of the object `key` in the configuration that the author saw.
    ///
    /// # Errors
    ///
    /// Fails when the object does not exist.
    pub fn base_spec(&self, key: &ObjectKey) -> Result<&ObjectSpec, PublishError> {
        let unknown = || PublishError::UnknownObject(key.clone());
        self.base_state.spec(key).ok_or_else(unknown)
    }

    /// Sets the content of the object `key`; equal content adds no change.
    pub fn set(&mut self, key: ObjectKey, spec: ObjectSpec) {
        if self.base_state.spec(&key) != Some(&spec) {
            self.push(key, Some(spec));
        }
    }

    /// Deletes the object `key`.
    ///
    /// # Errors
    ///
    /// Fails when the object does not exist.
    pub fn delete(&mut self, key: ObjectKey) -> Result<(), PublishError> {
        self.base_spec(&key)?;
        self.push(key, None);
        Ok(())
    }

    /// Whether the draft contains no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Keys of the objects that would change.
    pub fn keys(&self) -> impl Iterator<Item = &ObjectKey> {
        self.changes.iter().map(|change| &change.key)
    }

    /// Returns the change set, validated against the configuration that the author saw.
    ///
    /// # Errors
    ///
    /// Fails when the result would not be a valid configuration.
    pub fn finish(self, operator: &str) -> Result<ChangeSet, PublishError> {
        let change = ChangeSet {
            id: Uuid::new_v4(),
            operator: operator.to_owned(),
            time: wall_clock::now(),
            changes: self.changes,
        };
        let snapshot = SnapshotRecord {
            as_of: 0,
            hash: self.base_state.hash(),
            state: self.base_state,
        };
        let fold = ConfigFold::from_snapshot(&snapshot).unwrap_or_default();
        match fold.judge(&change) {
            ConfigVerdict::Accepted => Ok(change),
            ConfigVerdict::Invalid { problem } => Err(PublishError::Invalid(problem)),
            ConfigVerdict::Conflict { key, .. } => Err(PublishError::Conflict(key)),
        }
    }

    fn push(&mut self, key: ObjectKey, spec: Option<ObjectSpec>) {
        let base = self.base_state.revision(&key);
        self.changes.push(ObjectChange { key, base, spec });
    }
}
