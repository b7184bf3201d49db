//! Table of all upstreams of the deployment, replaced atomically on every read of the host list.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use ferry_decisions::names::{HostName, ServiceName, VersionName};
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use smallvec::SmallVec;

use super::UpstreamHost;

/// Candidates of one request; eight fit without heap allocation, since there are usually few.
pub type UpstreamList = SmallVec<[Arc<UpstreamHost>; 8]>;

/// Upstreams by name.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    hosts: ArcSwap<HashMap<HostName, Arc<UpstreamHost>>>,
}

impl UpstreamTable {
    /// Applies a new host list; hosts that are still listed keep their state.
    pub fn update(&self, entries: &[HostEntry]) {
        let known = self.hosts.load();
        let upstreams = entries.iter().filter(|e| e.role != HostRole::Router);
        let next = upstreams
            .map(|entry| (entry.name.clone(), kept_or_new(&known, entry)))
            .collect();
        self.hosts.store(Arc::new(next));
    }

    /// Upstreams that serve `version` and are not leaving.
    pub fn serving(&self, version: &VersionName) -> UpstreamList {
        self.select(|host| host.entry.versions.contains(version))
    }

    /// Upstreams that run `service` and are not leaving.
    pub fn running(&self, service: &ServiceName) -> UpstreamList {
        self.select(|host| host.entry.service.as_ref() == Some(service))
    }

    /// All upstreams, including those that are leaving.
    pub fn all(&self) -> Vec<Arc<UpstreamHost>> {
        self.hosts.load().values().cloned().collect()
    }

    fn select(&self, wanted: impl Fn(&UpstreamHost) -> bool) -> UpstreamList {
        self.hosts
            .load()
            .values()
            .filter(|host| !host.is_leaving() && wanted(host))
            .cloned()
            .collect()
    }
}

/// Returns the known host, or a new one if the entry has another address, versions or service and
/// so describes another process under the same name.
fn kept_or_new(
    known: &HashMap<HostName, Arc<UpstreamHost>>,
    entry: &HostEntry,
) -> Arc<UpstreamHost> {
    let same = |host: &&Arc<UpstreamHost>| {
        host.entry.address == entry.address
            && host.entry.versions == entry.versions
            && host.entry.service == entry.service
    };
    let Some(host) = known.get(&entry.name).filter(same) else {
        return Arc::new(UpstreamHost::new(entry.clone()));
    };
    if entry.state == HostState::Leaving {
        host.mark_leaving();
    }
    Arc::clone(host)
}
