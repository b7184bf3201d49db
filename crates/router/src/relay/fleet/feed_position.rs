//! Positions in the changes of the routers that this one asked last.

use std::collections::VecDeque;

use ferry_decisions::names::HostName;

/// Number of routers whose positions are kept; from another one the full state is requested.
const POSITION_LIMIT: usize = 4;

/// Position in the changes of one router.
#[derive(Debug, Default, Clone)]
pub struct FeedPosition {
    /// Incarnation of that router; empty before its first answer with the upstreams.
    pub source: String,
    /// Revision of the last change that was received.
    pub revision: u64,
    /// Revision of its list of routers that was received.
    pub routers_revision: u64,
    /// Whether the last answer had a difference to a record that is not kept here, so that the records are needed whole.
    pub needs_whole_records: bool,
}

/// Positions by router, the last used one at the end.
#[derive(Debug, Default)]
pub struct FeedPositionMap {
    positions: VecDeque<(HostName, FeedPosition)>,
}

impl FeedPositionMap {
    /// Takes the position in the changes of `host`; the start if none is kept.
    pub fn take(&mut self, host: &HostName) -> FeedPosition {
        let index = self.positions.iter().position(|(known, _)| known == host);
        let kept = index.and_then(|index| self.positions.remove(index));
        kept.map_or_else(FeedPosition::default, |(_, position)| position)
    }

    /// Keeps the position in the changes of `host`.
    pub fn put(&mut self, host: &HostName, position: FeedPosition) {
        self.positions.push_back((host.clone(), position));
        if self.positions.len() > POSITION_LIMIT {
            self.positions.pop_front();
        }
    }
}
