//! An upstream that left, as one router tells another.

use super::{UpstreamIncarnation, UpstreamRecord};

/// An upstream that is leaving or gone.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeftUpstream {
    /// The process; a later one with the same id has not left.
    pub incarnation: UpstreamIncarnation,
    /// Sequence of its newest entry that is known.
    pub sequence: u64,
    /// Whether its entry was removed; if not, it is leaving.
    pub is_gone: bool,
}

impl LeftUpstream {
    /// Whether `record` is of this process, and not written after its entry was removed.
    pub(super) fn covers(&self, record: &UpstreamRecord) -> bool {
        let is_same = self.incarnation == record.incarnation;
        is_same && (!self.is_gone || record.sequence <= self.sequence)
    }

    /// Whether the process of `record` is leaving.
    pub(super) fn is_leaving(&self, record: &UpstreamRecord) -> bool {
        !self.is_gone && self.covers(record)
    }
}
