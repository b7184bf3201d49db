//! A change set built against the configuration that its author saw.

use ferry_decisions::config::{
    ChangeSet, ConfigFold, ConfigState, ConfigVerdict, ObjectChange, ObjectKey, ObjectSpec,
    SnapshotRecord,
};
use ferry_kernel::wall_clock;
use uuid::Uuid;

use super::PublishError;

/// Changes of objects with the revisions that their author saw.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeDraft {
    seen: ConfigState,
    changes: Vec<ObjectChange>,
}

impl ChangeDraft {
    /// A draft without changes, against `seen`.
    pub fn new(seen: Option<&SnapshotRecord>) -> Self {
        Self {
            seen: seen
                .map(|snapshot| snapshot.state.clone())
                .unwrap_or_default(),
            changes: Vec::new(),
        }
    }

    /// Content of `key` as the author saw it.
    ///
    /// # Errors
    ///
    /// Fails when the object does not exist.
    pub fn seen(&self, key: &ObjectKey) -> Result<&ObjectSpec, PublishError> {
        let unknown = || PublishError::UnknownObject(key.clone());
        self.seen.spec(key).ok_or_else(unknown)
    }

    /// Sets the content of `key`; equal content is no change.
    pub fn set(&mut self, key: ObjectKey, spec: ObjectSpec) {
        if self.seen.spec(&key) != Some(&spec) {
            self.push(key, Some(spec));
        }
    }

    /// Deletes `key`.
    ///
    /// # Errors
    ///
    /// Fails when the object does not exist.
    pub fn delete(&mut self, key: ObjectKey) -> Result<(), PublishError> {
        self.seen(&key)?;
        self.push(key, None);
        Ok(())
    }

    /// Whether nothing would change.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Keys of the objects that would change.
    pub fn keys(&self) -> impl Iterator<Item = &ObjectKey> {
        self.changes.iter().map(|change| &change.key)
    }

    /// The change set, checked against the configuration that the author saw.
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
            hash: self.seen.hash(),
            state: self.seen,
        };
        let fold = ConfigFold::from_snapshot(&snapshot).unwrap_or_default();
        match fold.judge(&change) {
            ConfigVerdict::Accepted => Ok(change),
            ConfigVerdict::Invalid { problem } => Err(PublishError::Invalid(problem)),
            ConfigVerdict::Conflict { key, .. } => Err(PublishError::Conflict(key)),
        }
    }

    fn push(&mut self, key: ObjectKey, spec: Option<ObjectSpec>) {
        let base = self.seen.revision(&key);
        self.changes.push(ObjectChange { key, base, spec });
    }
}
