//! Position in a topic, and what a reader does with an answer of the store.

use std::cmp::Ordering;

/// Number that rises each time the store comes back from an older copy; 0 while the store states none.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// Offset in a topic within one era; any position of a later era is beyond those of earlier ones.
// The order of the fields is the order of the positions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TopicPosition {
    /// Era in which the store gave out the offset.
    pub era: StoreEra,
    /// Offset of a record, or of the next one.
    pub offset: u64,
}

/// What a reader does with an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// The records follow those that are known.
    Apply,
    /// The offsets have a new meaning: all keys are to be listed.
    ListAgain,
    /// The topic ends before what is known of it: the answer tells nothing about the topic's present end.
    Refuse,
}

impl TopicPosition {
    /// The position `offset` in `era`.
    pub fn new(era: StoreEra, offset: u64) -> Self {
        Self { era, offset }
    }

    /// What a reader that knows all records before this position does with an answer in which the topic ends at `end`.
    pub fn step_to(self, end: Self) -> ReadStep {
        match end.era.cmp(&self.era) {
            Ordering::Greater => ReadStep::ListAgain,
            Ordering::Equal if end.offset >= self.offset => ReadStep::Apply,
            Ordering::Equal | Ordering::Less => ReadStep::Refuse,
        }
    }
}
