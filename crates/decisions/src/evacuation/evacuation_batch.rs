//! Records of evacuations, as they were read together.

use crate::names::ZoneName;
use crate::topic::StoreEra;

/// What a record says of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone is evacuated.
    Begin,
    /// The key was removed.
    End,
    /// The record cannot be read: it changes nothing, but its key is not missing from a listing.
    Unreadable,
}

/// One record of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// Zone that the key names.
    pub zone: ZoneName,
    /// Offset of the record.
    pub offset: u64,
    /// What it says.
    pub change: EvacuationChange,
}

/// Records that the store gave out together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationBatch {
    /// Era of the offsets.
    pub era: StoreEra,
    /// End of the topic when all its keys were listed, so that any other key before it was removed; `None` if the records are changes only.
    pub listed_to: Option<u64>,
    /// The records, in the order of the topic.
    pub records: Vec<EvacuationRecord>,
}
