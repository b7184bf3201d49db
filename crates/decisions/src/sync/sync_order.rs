//! Registered routers in the order in which they read the store.

use smallvec::SmallVec;

use super::RouterEntry;
use crate::names::{HostName, ZoneName};

/// Availability zones up to which their counts need no heap allocation.
const INLINE_ZONES: usize = 8;
/// Hosts of each availability zone that know most of it: the one that reads the store, and the next one.
const FIRST_HOSTS: usize = 2;

/// Registered routers in a fixed order, which is the same at every router.
#[derive(Debug, Clone, Default)]
pub struct SyncOrder {
    /// Sorted by rank; at most one entry for each host.
    routers: Vec<RouterEntry>,
}

impl SyncOrder {
    /// Sorts `routers`.
    pub fn new(mut routers: Vec<RouterEntry>) -> Self {
        routers.sort_by(|one, other| one.rank().cmp(&other.rank()));
        routers.dedup_by(|one, other| one.host == other.host);
        Self { routers }
    }

    /// All routers, in order.
    pub fn routers(&self) -> &[RouterEntry] {
        &self.routers
    }

    /// Number of routers.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Whether no router is known.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Hosts of `zone`, in order.
    pub fn of_zone<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a HostName> {
        let of_zone = self.routers.iter().filter(move |entry| entry.zone == *zone);
        of_zone.map(|entry| &entry.host)
    }

    /// Hosts of `zone` before `own`, in order.
    pub fn before<'a>(&'a self, own: &'a RouterEntry) -> impl Iterator<Item = &'a HostName> {
        let own_rank = own.rank();
        let before = self
            .routers
            .iter()
            .take_while(move |entry| entry.rank() < own_rank);
        let before = before.filter(|entry| entry.zone == own.zone);
        before.map(|entry| &entry.host)
    }

    /// The first `count` hosts of each availability zone other than `zone`, in order.
    pub fn heads_of_others(&self, zone: &ZoneName, count: usize) -> Vec<&HostName> {
        let others = self.routers.iter().filter(|entry| entry.zone != *zone);
        let mut taken: SmallVec<[(&ZoneName, usize); INLINE_ZONES]> = SmallVec::new();
        let mut heads = Vec::new();
        for entry in others {
            let index = taken.iter().position(|(zone, _)| **zone == entry.zone);
            let index = index.unwrap_or_else(|| {
                taken.push((&entry.zone, 0));
                taken.len() - 1
            });
            let count_of_zone = &mut taken[index].1;
            if *count_of_zone < count {
                *count_of_zone += 1;
                heads.push(&entry.host);
            }
        }
        heads
    }

    /// The first two hosts of each availability zone, those of `zone` first.
    pub fn first_of_zones(&self, zone: &ZoneName) -> Vec<HostName> {
        let own = self.of_zone(zone).take(FIRST_HOSTS);
        let others = self.heads_of_others(zone, FIRST_HOSTS);
        own.chain(others).cloned().collect()
    }
}
