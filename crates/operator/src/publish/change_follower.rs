//! Follows the propagation of one change, with the same tracker that the routers use.

use std::collections::BTreeSet;
use std::time::Duration;

use ferry_decisions::lease::{PeerStatement, PropagationStage, PropagationTracker};
use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;
use ferry_router::admin::RouterStatus;
use ferry_router::membership::{MemberView, ProcessClock};

use super::ChangeProgress;
use crate::fleet::FleetClient;

/// Determines the progress of the change at one offset by polling the routers.
#[derive(Debug)]
pub struct ChangeFollower {
    clock: ProcessClock,
    offset: u64,
    tracker: PropagationTracker,
    /// Hosts that reported that they have folded the change.
    confirmed: BTreeSet<HostName>,
    /// Hosts that the platform lists, as reported by the routers.
    listed: BTreeSet<HostName>,
    /// Hosts that are listed, reported by a router, or named in the settings.
    known: BTreeSet<HostName>,
}

impl ChangeFollower {
    /// Creates a follower of the change at `offset`; `freshness` is the routers' freshness limit.
    pub fn new(offset: u64, freshness: Duration) -> Self {
        Self {
            clock: ProcessClock::start(),
            offset,
            tracker: PropagationTracker::new(offset, freshness),
            confirmed: BTreeSet::new(),
            listed: BTreeSet::new(),
            known: BTreeSet::new(),
        }
    }

    /// Queries the status of every router once and returns the progress of the change.
    pub async fn poll(&mut self, fleet: &FleetClient) -> ChangeProgress {
        let requested_at = self.clock.now();
        let names = fleet.settings.routers.keys();
        self.known.extend(names.map(|name| HostName::new(name)));
        for router in fleet.statuses().await {
            if let Ok(status) = router.answer {
                self.observe(requested_at, &status);
            }
        }
        self.progress()
    }

    fn observe(&mut self, requested_at: MonotonicTime, status: &RouterStatus) {
        for member in member_views(status) {
            if member.listed {
                self.listed.insert(member.host.clone());
            }
            self.known.insert(member.host);
        }
        let statement = PeerStatement {
            host: status.host.clone(),
            incarnation: status.incarnation,
            requested_at,
            next_offset: status.config.next_offset,
            log: None,
            recovered: true,
        };
        if status.config.next_offset > self.offset {
            self.confirmed.insert(status.host.clone());
        }
        self.tracker.observe(self.clock.now(), &statement);
    }

    fn progress(&mut self) -> ChangeProgress {
        let known: Vec<HostName> = self.known.iter().cloned().collect();
        let listed: Vec<HostName> = if self.listed.is_empty() {
            known.clone()
        } else {
            self.listed.iter().cloned().collect()
        };
        let status = self.tracker.status(self.clock.now(), &listed, &known);
        let is_missing = |host: &&HostName| !self.confirmed.contains(*host);
        let lapsed = match status.stage {
            PropagationStage::InForce => known.iter().filter(is_missing).cloned().collect(),
            PropagationStage::Published | PropagationStage::Accepted => Vec::new(),
        };
        ChangeProgress {
            stage: status.stage,
            offset: self.offset,
            confirmed: self.confirmed.iter().cloned().collect(),
            lapsed,
            waiting: status.waiting,
        }
    }
}

/// Members of the fleet that a router reports; empty if a router of another release reports them
/// differently.
fn member_views(status: &RouterStatus) -> Vec<MemberView> {
    let plugin = status.plugins.get("membership");
    let members = plugin.and_then(|view| view.get("members"));
    members
        .and_then(|members| serde_json::from_value(members.clone()).ok())
        .unwrap_or_default()
}
