//! Reads of the log's tail that can still support a lease.

use smallvec::SmallVec;

use super::LeaseBasis;
use crate::time::MonotonicTime;

/// Most reads kept; forgetting one is always safe.
const FRONTIER_LIMIT: usize = 16;

/// One read of the log's tail.
#[derive(Debug, Clone)]
pub(super) struct TailSighting {
    /// Start of the read, or an earlier moment.
    pub began: MonotonicTime,
    /// Offset that the log gave next.
    pub tail: u64,
    /// Who read it.
    pub basis: LeaseBasis,
}

/// Reads of which none is both older and stricter than another.
#[derive(Debug, Clone, Default)]
pub(super) struct TailFrontier {
    sightings: SmallVec<[TailSighting; 4]>,
}

impl TailFrontier {
    /// Adds a read and drops those that it makes useless.
    pub fn add(&mut self, sighting: TailSighting) {
        let useless = self
            .sightings
            .iter()
            .any(|known| known.tail <= sighting.tail && known.began >= sighting.began);
        if useless {
            return;
        }
        self.sightings
            .retain(|known| known.tail < sighting.tail || known.began > sighting.began);
        if self.sightings.len() == FRONTIER_LIMIT {
            self.drop_oldest();
        }
        self.sightings.push(sighting);
    }

    /// The newest read that a router holding all records below `own` satisfies.
    pub fn newest(&self, own: u64) -> Option<&TailSighting> {
        self.sightings
            .iter()
            .filter(|sighting| sighting.tail <= own)
            .max_by_key(|sighting| sighting.began)
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.sightings.len()).min_by_key(|index| self.sightings[*index].began);
        if let Some(index) = oldest {
            self.sightings.remove(index);
        }
    }
}
