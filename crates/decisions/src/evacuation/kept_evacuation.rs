//! An evacuation that is kept without a record, as routers tell each other.

use serde::{Deserialize, Serialize};

use crate::names::ZoneName;
use crate::topic::StoreEra;

/// An evacuation that is in force although the store's era has no record of it yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptEvacuation {
    /// The zone.
    pub zone: ZoneName,
    /// Era of the store that lacks the record.
    pub era: StoreEra,
    /// Time for which it is still kept, in milliseconds.
    pub left_ms: u64,
}
