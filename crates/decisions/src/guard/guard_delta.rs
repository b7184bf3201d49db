//! Messages by which routers pool their evidence.

use std::collections::{BTreeMap, BTreeSet};

use super::{GuardCounts, RouterId};
use crate::names::{HostName, VersionName, WorkspaceName};
use crate::time::UnixMillis;

value_type! {
    /// Changes of a pool. Merging is idempotent and independent of the order.
    #[derive(Default)]
    pub struct GuardDelta {
        /// Candidates with changes.
        pub candidates: Vec<CandidateDelta>,
    }

    /// Changes of one candidate.
    pub struct CandidateDelta {
        /// Version in the roll-out.
        pub version: VersionName,
        /// Epoch of the roll-out.
        pub epoch: u64,
        /// Rows with changes, each complete.
        pub rows: Vec<GuardRow>,
        /// Trip; absent unless the roll-out was stopped.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub trip: Option<TripNotice>,
    }

    /// State of one router's use of a candidate.
    pub struct GuardRow {
        /// Router that the row belongs to; no other router raises the counts.
        pub router: RouterId,
        /// Routers to which it has yielded a part: its unrated answers are and stay within its
        /// own part when the limit is shared with these participants. The set only grows.
        pub yielded: BTreeSet<RouterId>,
        /// Whether it stopped permanently with no unrated answer, so that its part is free.
        pub closed: bool,
        /// Counts by workspace.
        pub cells: BTreeMap<WorkspaceName, GuardCounts>,
    }
}

/// Notice that a roll-out was stopped; the smallest one is kept when several routers trip.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TripNotice {
    /// Time of the trip.
    pub time: UnixMillis,
    /// Router host whose test tripped.
    pub router: HostName,
    /// Description of the evidence in words.
    pub reason: String,
}

impl GuardRow {
    /// An empty row of `router`.
    pub fn new(router: RouterId) -> Self {
        Self {
            router,
            yielded: BTreeSet::new(),
            closed: false,
            cells: BTreeMap::new(),
        }
    }

    /// Merges another state of the same row; returns whether anything grew.
    pub fn join(&mut self, other: &Self) -> bool {
        let mut grew = other.closed && !self.closed;
        self.closed |= other.closed;
        for participant in &other.yielded {
            grew |= self.yielded.insert(participant.clone());
        }
        for (workspace, counts) in &other.cells {
            grew |= self
                .cells
                .entry(workspace.clone())
                .or_default()
                .join(counts);
        }
        grew
    }

    /// Sum of the counts over the workspaces.
    pub fn total(&self) -> GuardCounts {
        self.cells
            .values()
            .fold(GuardCounts::default(), |mut sum, counts| {
                sum.add(counts);
                sum
            })
    }
}
