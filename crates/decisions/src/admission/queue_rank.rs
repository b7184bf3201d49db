//! Place of a request in an upstream's queue.

use super::{FairStanding, PriorityClass};

/// Rank in a queue: higher ranks go first.
///
/// Work beyond its workspace's fair part ranks below all work within it, whatever its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueRank(usize);

impl QueueRank {
    /// Number of ranks.
    pub const COUNT: usize = 2 * PriorityClass::COUNT;

    /// Rank of a request.
    pub fn new(class: PriorityClass, standing: FairStanding) -> Self {
        match standing {
            FairStanding::Beyond => Self(class.index()),
            FairStanding::Within => Self(class.index() + PriorityClass::COUNT),
        }
    }

    /// Position among the ranks, lowest first; below [`Self::COUNT`].
    pub fn index(self) -> usize {
        self.0
    }

    /// Priority as engines take it: a whole number, higher first.
    pub fn engine_priority(self) -> u32 {
        self.0 as u32
    }
}
