//! Table of router hosts.

use ferry_decisions::names::HostName;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use parking_lot::RwLock;

/// Router hosts by name.
#[derive(Debug)]
pub struct MemberTable {
    own: HostName,
    routers: RwLock<Vec<HostEntry>>,
}

impl MemberTable {
    /// A table that knows only this host.
    pub fn new(own: &HostName) -> Self {
        Self {
            own: own.clone(),
            routers: RwLock::new(Vec::new()),
        }
    }

    /// Takes over a new host list.
    pub fn update(&self, entries: &[HostEntry]) {
        let routers = entries.iter().filter(|e| e.role == HostRole::Router);
        *self.routers.write() = routers.cloned().collect();
    }

    /// Entries of the router hosts last listed, this one included if it is listed.
    pub fn listed(&self) -> Vec<HostEntry> {
        self.routers.read().clone()
    }

    /// Names of the router hosts that take work, this one included, in order.
    pub fn live(&self) -> Vec<HostName> {
        let routers = self.routers.read();
        let live = routers.iter().filter(|e| e.state == HostState::Live);
        let mut names: Vec<_> = live.map(|entry| entry.name.clone()).collect();
        if !names.contains(&self.own) {
            names.push(self.own.clone());
        }
        names.sort();
        names
    }
}
