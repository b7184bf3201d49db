//! Messages by which routers pool their evidence.

use std::collections::{BTreeMap, BTreeSet};

use super::{GuardCounts, RouterId};
use crate::names::{HostName, VersionName, WorkspaceName};
use crate::time::UnixMillis;

value_type! {
    /// Changes of a pool; merging one twice or in another order gives the same pool.
    #[derive(Default)]
    pub struct GuardDelta {
        /// Changed candidates.
        pub candidates: Vec<CandidateDelta>,
    }

    /// Changes of one candidate.
    pub struct CandidateDelta {
        /// Version in the roll-out.
        pub version: VersionName,
        /// Epoch of the roll-out.
        pub epoch: u64,
        /// Changed rows; each in full.
        pub rows: Vec<GuardRow>,
        /// Trip, once the roll-out was stopped.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub trip: Option<TripNotice>,
    }

    /// State of one router's use of a candidate.
    pub struct GuardRow {
        /// Router that the row belongs to; only it raises the counts.
        pub router: RouterId,
        /// Routers to which it has yielded a part: its unrated answers are within the part
        /// that these seats leave it, and stay there. Only grows.
        pub yielded: BTreeSet<RouterId>,
        /// Whether it stopped for good with no answer unrated, so that its part is free.
        pub closed: bool,
        /// Counts by workspace.
        pub cells: BTreeMap<WorkspaceName, GuardCounts>,
    }
}

/// Fact that a roll-out was stopped; the smallest notice is kept when several routers trip.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TripNotice {
    /// When the guard tripped.
    pub time: UnixMillis,
    /// Router host whose test tripped.
    pub router: HostName,
    /// Evidence, in words.
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

    /// Joins another state of the same row and tells whether anything grew.
    pub fn join(&mut self, other: &Self) -> bool {
        let mut grew = other.closed && !self.closed;
        self.closed |= other.closed;
        for seat in &other.yielded {
            grew |= self.yielded.insert(seat.clone());
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
