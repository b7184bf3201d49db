//! Rank of a request in an upstream's queue.

use super::{FairStanding, PriorityClass};

/// Rank in a queue; higher ranks are served first.
///
/// Work beyond its workspace's fair share ranks below all work within one, whatever its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueRank(usize);

impl QueueRank {
    /// Number of ranks.
    pub const COUNT: usize = 2 * PriorityClass::COUNT;

    /// Rank of a request of `class`.
    pub fn new(class: PriorityClass, standing: FairStanding) -> Self {
        match standing {
            FairStanding::Beyond => Self(class.index()),
            FairStanding::Within => Self(class.index() + PriorityClass::COUNT),
        }
    }

    /// Index among the ranks, lowest first; below [`Self::COUNT`].
    pub fn index(self) -> usize {
        self.0
    }

    /// Priority in the form that engines accept: an integer, higher first.
    pub fn engine_priority(self) -> u32 {
        self.0 as u32
    }
}
