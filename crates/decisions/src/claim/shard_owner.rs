//! Assignment of shards to owners by rendezvous hashing over the live routers.
//!
//! Ownership only decides which router batches the records. Routers may disagree about it: claims and
//! bills are decided by log order.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::SHARD_COUNT;
use crate::names::HostName;

/// Owner of `shard` among the `live` routers, whatever their order; `None` if there are none.
pub fn owner_of(shard: u16, live: &[HostName]) -> Option<&HostName> {
    live.iter()
        .max_by_key(|host| (rank(shard, host), host.as_str()))
}

/// Shards that `host` owns among the `live` routers, in ascending order.
pub fn owned_shards<'a>(host: &'a HostName, live: &'a [HostName]) -> impl Iterator<Item = u16> {
    (0..SHARD_COUNT).filter(move |shard| owner_of(*shard, live) == Some(host))
}

fn rank(shard: u16, host: &HostName) -> u64 {
    xxh3_64_with_seed(host.as_str().as_bytes(), u64::from(shard))
}
