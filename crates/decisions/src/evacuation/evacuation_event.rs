//! What changed about the evacuation of a zone.

use std::time::Duration;

use crate::names::ZoneName;

closed_set! {
    /// Why an evacuation ended.
    pub enum EndCause {
        /// A record removed its key.
        Removed,
        /// A listing of all keys lacks its key.
        NotListed,
        /// No record of the store's new era named the zone in time.
        Lapsed,
    }
}

/// A change of the evacuation of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationEvent {
    /// It is in force.
    Began {
        /// The zone.
        zone: ZoneName,
        /// Offset of its record.
        offset: u64,
    },
    /// A record of the store's new era confirms it.
    Confirmed {
        /// The zone.
        zone: ZoneName,
        /// Offset of that record.
        offset: u64,
    },
    /// It is kept although the store's new era has no record of it yet.
    Kept {
        /// The zone.
        zone: ZoneName,
        /// Time for which it is kept.
        left: Duration,
    },
    /// It has ended.
    Ended {
        /// The zone.
        zone: ZoneName,
        /// Why.
        cause: EndCause,
    },
}
