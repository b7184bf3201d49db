//! Place of a request in an upstream's queue.

use super::{FairStanding, PriorityClass};

/// Rank in a queue: higher ranks go first.
///
/// Work beyond its workspace's fair part ranks below all work within it, whatever its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueRank(u8);

impl QueueRank {
    /// Number of ranks.
    pub const COUNT: usize = 6;

    /// Ranks of one standing.
    const CLASSES: u8 = 3;

    /// Rank of a request.
    pub fn new(class: PriorityClass, standing: FairStanding) -> Self {
        let class = match class {
            PriorityClass::Batch => 0,
            PriorityClass::Normal => 1,
            PriorityClass::Urgent => 2,
        };
        match standing {
            FairStanding::Beyond => Self(class),
            FairStanding::Within => Self(class + Self::CLASSES),
        }
    }

    /// Position among the ranks, lowest first; below [`Self::COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Priority as engines take it: a whole number, higher first.
    pub fn engine_priority(self) -> u32 {
        u32::from(self.0)
    }
}
