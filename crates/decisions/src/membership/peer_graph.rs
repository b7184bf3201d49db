//! Graph of the router hosts that exchange heartbeats.
//!
//! Small fleets form a full mesh. Larger ones form the union of several rings, each in a different
//! order, which all routers compute alike. Such a graph has a bounded number of neighbours per host
//! and a diameter that grows with the logarithm of the fleet. A host that joins or leaves changes
//! only its neighbours' lists.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::HostName;

/// Largest fleet that forms a full mesh, in hosts.
pub const MESH_LIMIT: usize = 8;
/// Number of rings of a larger fleet; a host has at most twice as many neighbours.
const RINGS: u64 = 4;

/// Neighbours of the host `own` among `hosts`, sorted; the relation is symmetric.
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

/// Hosts before and after `own` in the ring with the number `ring`.
fn ring_neighbours(own: &HostName, all: &mut [&HostName], ring: u64) -> [HostName; 2] {
    all.sort_unstable_by_key(|host| (xxh3_64_with_seed(host.as_str().as_bytes(), ring), *host));
    let count = all.len();
    let position = all.iter().position(|host| *host == own).unwrap_or_default();
    [
        all[(position + count - 1) % count].clone(),
        all[(position + 1) % count].clone(),
    ]
}
