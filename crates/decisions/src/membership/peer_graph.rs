//! Whom a router exchanges heartbeats with.
//!
//! Small fleets form a full mesh. Larger ones form the union of a few rings, each in an order of
//! its own that all routers compute alike; such a graph has a fixed number of neighbours per
//! host and a diameter that grows with the logarithm of the fleet. A host that comes or goes
//! changes only its neighbours' lists.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::HostName;

/// Largest fleet that forms a full mesh, in hosts.
pub const MESH_LIMIT: usize = 8;
/// Rings of a larger fleet; a host has at most twice as many neighbours.
const RINGS: u64 = 4;

/// Neighbours of `own` among `hosts`, sorted; the relation is symmetric.
pub fn neighbours(own: &HostName, hosts: &[HostName]) -> Vec<HostName> {
    let mut all: Vec<&HostName> = hosts.iter().chain([own]).collect();
    all.sort_unstable();
    all.dedup();
    let mut chosen: Vec<HostName> = if all.len() <= MESH_LIMIT {
        all.into_iter().cloned().collect()
    } else {
        (0..RINGS)
            .flat_map(|ring| ring_neighbours(own, &mut all, ring))
            .collect()
    };
    chosen.sort_unstable();
    chosen.dedup();
    chosen.retain(|host| host != own);
    chosen
}

/// The hosts before and after `own` in one ring.
fn ring_neighbours(own: &HostName, all: &mut [&HostName], ring: u64) -> [HostName; 2] {
    all.sort_unstable_by_key(|host| (xxh3_64_with_seed(host.as_str().as_bytes(), ring), *host));
    let count = all.len();
    let place = all.iter().position(|host| *host == own).unwrap_or_default();
    [
        all[(place + count - 1) % count].clone(),
        all[(place + 1) % count].clone(),
    ]
}
