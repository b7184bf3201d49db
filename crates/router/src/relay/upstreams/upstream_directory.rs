//! Upstreams by service, replaced as a whole on each change.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use ferry_decisions::names::{HostName, ServiceName, VersionName};
use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord};
use ferry_decisions::workload::short_id;

use super::RelayUpstream;

/// Upstreams of one service.
pub type UpstreamList = Arc<[Arc<RelayUpstream>]>;

/// Directory of the upstreams that the platform lists.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    by_service: ArcSwap<HashMap<ServiceName, UpstreamList>>,
    by_short_id: ArcSwap<HashMap<u32, UpstreamIncarnation>>,
    listed: AtomicBool,
}

impl UpstreamDirectory {
    /// Whether the upstreams were listed at least once, by the store or another router.
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Services that have upstreams, in no particular order.
    pub fn services(&self) -> Vec<ServiceName> {
        self.by_service.load().keys().cloned().collect()
    }

    /// Upstreams of `service`, including leaving ones.
    pub fn of_service(&self, service: &ServiceName) -> UpstreamList {
        let by_service = self.by_service.load();
        by_service
            .get(service)
            .cloned()
            .unwrap_or_else(|| Arc::new([]))
    }

    /// The upstream with this id.
    pub fn find(&self, id: &HostName) -> Option<Arc<RelayUpstream>> {
        let by_service = self.by_service.load();
        let mut upstreams = by_service.values().flat_map(|list| list.iter());
        upstreams
            .find(|upstream| upstream.record.incarnation.id == *id)
            .cloned()
    }

    /// Upstreams of all services by the number that stands for them in reports of load.
    pub fn short_ids(&self) -> Arc<HashMap<u32, UpstreamIncarnation>> {
        self.by_short_id.load_full()
    }

    /// Upstreams of all services that meet `condition`.
    pub fn all_where(&self, condition: impl Fn(&RelayUpstream) -> bool) -> Vec<Arc<RelayUpstream>> {
        let by_service = self.by_service.load();
        let upstreams = by_service.values().flat_map(|list| list.iter());
        upstreams
            .filter(|upstream| condition(upstream))
            .cloned()
            .collect()
    }

    /// Requests of this router in flight on upstreams of `service` with another version.
    pub fn in_flight_except(&self, service: &ServiceName, version: &VersionName) -> u32 {
        self.of_service(service)
            .iter()
            .filter(|upstream| upstream.record.version != *version)
            .map(|upstream| upstream.in_flight())
            .sum()
    }

    /// Replaces the directory. Upstreams of the same incarnation, service, address and version keep
    /// their state and connections; the others are marked as leaving.
    ///
    /// Returns those that another process has replaced, under their id or at their address, although they were not leaving.
    pub fn update<'a>(
        &self,
        records: impl Iterator<Item = &'a UpstreamRecord>,
    ) -> Vec<Arc<RelayUpstream>> {
        let mut previous = self.by_id();
        let mut replaced = Vec::new();
        let mut addresses = HashSet::new();
        let mut lists: HashMap<ServiceName, Vec<Arc<RelayUpstream>>> = HashMap::new();
        for record in records {
            let upstream = match previous.remove(&record.incarnation.id) {
                Some(known) if known.is_same(record) => known,
                ended => {
                    replaced.extend(ended.filter(|ended| !ended.is_leaving()));
                    addresses.insert(record.address);
                    Arc::new(RelayUpstream::new(record.clone()))
                }
            };
            upstream.record_stage(record.stage);
            lists
                .entry(record.service.clone())
                .or_default()
                .push(upstream);
        }
        let is_replaced = |ended: &Arc<RelayUpstream>| {
            !ended.is_leaving() && addresses.contains(&ended.record.address)
        };
        replaced.extend(
            previous
                .values()
                .filter(|ended| is_replaced(ended))
                .cloned(),
        );
        for ended in previous.values().chain(&replaced) {
            ended.mark_leaving();
        }
        let upstreams = lists.values().flatten();
        let by_short_id = upstreams
            .map(|upstream| &upstream.record.incarnation)
            .map(|incarnation| (short_id(incarnation), incarnation.clone()))
            .collect();
        self.by_short_id.store(Arc::new(by_short_id));
        let by_service = lists
            .into_iter()
            .map(|(service, list)| (service, list.into()))
            .collect();
        self.by_service.store(Arc::new(by_service));
        self.listed.store(true, Ordering::Release);
        replaced
    }

    /// All upstreams by id, which is unique in the platform's list.
    fn by_id(&self) -> HashMap<HostName, Arc<RelayUpstream>> {
        let by_service = self.by_service.load();
        let upstreams = by_service.values().flat_map(|list| list.iter());
        upstreams
            .map(|upstream| (upstream.record.incarnation.id.clone(), Arc::clone(upstream)))
            .collect()
    }
}
