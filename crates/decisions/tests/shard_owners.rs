//! Tests of shard ownership by rendezvous hashing.

use ferry_decisions::claim::{SHARD_COUNT, owned_shards, owner_of};
use ferry_decisions::names::HostName;

fn hosts(count: usize) -> Vec<HostName> {
    (0..count)
        .map(|index| HostName::new(&format!("router-{index}")))
        .collect()
}

#[test]
fn the_order_of_the_hosts_does_not_matter() {
    let live = hosts(8);
    let reversed: Vec<_> = live.iter().rev().cloned().collect();
    for shard in 0..SHARD_COUNT {
        assert_eq!(owner_of(shard, &live), owner_of(shard, &reversed));
    }
    assert_eq!(owner_of(0, &[]), None);
}

#[test]
fn a_lost_router_moves_only_its_own_shards() {
    let live = hosts(8);
    let rest: Vec<_> = live.iter().skip(1).cloned().collect();
    for shard in 0..SHARD_COUNT {
        let before = owner_of(shard, &live).unwrap();
        if *before != live[0] {
            assert_eq!(owner_of(shard, &rest), Some(before));
        }
    }
}

#[test]
fn every_shard_has_one_owner() {
    let live = hosts(8);
    let owned: usize = live
        .iter()
        .map(|host| owned_shards(host, &live).count())
        .sum();
    assert_eq!(owned, usize::from(SHARD_COUNT));
}
