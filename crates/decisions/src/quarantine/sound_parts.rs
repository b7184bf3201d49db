//! Parts of prompts on which an upstream gave a whole answer.

use std::collections::{HashSet, VecDeque};

/// Maximum number of parts held; the oldest ones are dropped.
const PART_LIMIT: usize = 16_384;

/// A bounded set of parts.
#[derive(Debug, Default)]
pub(super) struct SoundParts {
    parts: HashSet<u64>,
    /// The same parts in the order in which they were added.
    order: VecDeque<u64>,
}

impl SoundParts {
    /// Adds a part; returns whether it is new.
    pub(super) fn insert(&mut self, part: u64) -> bool {
        if !self.parts.insert(part) {
            return false;
        }
        self.order.push_back(part);
        if self.order.len() > PART_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.parts.remove(&oldest);
        }
        true
    }

    pub(super) fn contains(&self, part: u64) -> bool {
        self.parts.contains(&part)
    }
}
