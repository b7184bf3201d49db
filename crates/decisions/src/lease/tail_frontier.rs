//! Reads of the log's tail that can still support a lease, as a Pareto frontier.

use smallvec::SmallVec;

use super::LeaseBasis;
use crate::time::MonotonicTime;

/// Most reads kept. Removing one is always safe: it can only deny a lease.
const FRONTIER_LIMIT: usize = 16;

/// One read of the log's tail.
#[derive(Debug, Clone)]
pub(super) struct TailObservation {
    /// Start of the read, or an earlier moment.
    pub began: MonotonicTime,
    /// Offset of the next record that the log would hold.
    pub tail: u64,
    /// Router that made the read, as the basis of a lease.
    pub basis: LeaseBasis,
}

/// Reads of which none is superseded. A read supersedes another if it began no earlier and found a
/// tail that is no higher.
#[derive(Debug, Clone, Default)]
pub(super) struct TailFrontier {
    observations: SmallVec<[TailObservation; 4]>,
}

impl TailFrontier {
    /// Adds a read and removes those that it supersedes; ignores it if a known read supersedes it.
    pub fn add(&mut self, observation: TailObservation) {
        let superseded = self
            .observations
            .iter()
            .any(|known| known.tail <= observation.tail && known.began >= observation.began);
        if superseded {
            return;
        }
        self.observations
            .retain(|known| known.tail < observation.tail || known.began > observation.began);
        if self.observations.len() == FRONTIER_LIMIT {
            self.drop_oldest();
        }
        self.observations.push(observation);
    }

    /// Newest read whose tail is at most `own`, the offset that a router needs next.
    pub fn newest(&self, own: u64) -> Option<&TailObservation> {
        self.observations
            .iter()
            .filter(|observation| observation.tail <= own)
            .max_by_key(|observation| observation.began)
    }

    fn drop_oldest(&mut self) {
        let oldest =
            (0..self.observations.len()).min_by_key(|index| self.observations[*index].began);
        if let Some(index) = oldest {
            self.observations.remove(index);
        }
    }
}
