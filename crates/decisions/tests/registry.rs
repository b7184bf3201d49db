//! The registry of upstreams, built from their entries.

use std::time::Duration;

use ferry_decisions::registry::{
    LeftUpstream, RegistryChange, UpstreamIncarnation, UpstreamRecord, UpstreamRegistry,
    UpstreamStage,
};
use ferry_decisions::time::{MonotonicTime, UnixMillis};
use proptest::prelude::*;

fn record(id: &str, started_at: u64, sequence: u64, stage: UpstreamStage) -> UpstreamRecord {
    UpstreamRecord {
        incarnation: UpstreamIncarnation {
            id: id.into(),
            started_at: Some(UnixMillis(started_at)),
        },
        service: "letters".into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        zone: "cluj-sala-a".into(),
        version: "v1".into(),
        slots: 6,
        stage,
        warm_up: Duration::ZERO,
        sequence,
    }
}

fn ready(id: &str, started_at: u64, sequence: u64) -> UpstreamRecord {
    record(id, started_at, sequence, UpstreamStage::Ready)
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default().after(Duration::from_millis(millis))
}

fn ids(registry: &UpstreamRegistry) -> Vec<String> {
    let mut ids: Vec<String> = registry
        .upstreams()
        .map(|record| record.incarnation.id.to_string())
        .collect();
    ids.sort();
    ids
}

#[test]
fn an_older_entry_changes_nothing() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(record("a", 10, 5, UpstreamStage::Draining));
    assert_eq!(registry.observe(ready("a", 10, 4)), RegistryChange::None);
    assert_eq!(registry.observe(ready("a", 9, 90)), RegistryChange::None);
    let stage = registry.upstreams().next().unwrap().stage;
    assert_eq!(stage, UpstreamStage::Draining);
}

#[test]
fn a_leaving_upstream_remains_so_until_it_restarts() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(record("a", 10, 5, UpstreamStage::Draining));
    registry.observe(ready("a", 10, 6));
    assert_eq!(
        registry.upstreams().next().unwrap().stage,
        UpstreamStage::Draining
    );
    assert_eq!(
        registry.observe(ready("a", 11, 1)),
        RegistryChange::Appeared
    );
    assert_eq!(
        registry.upstreams().next().unwrap().stage,
        UpstreamStage::Ready
    );
}

#[test]
fn a_malformed_entry_unlists_its_upstream_until_a_readable_one_follows() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(ready("a", 10, 5));
    registry.observe(ready("b", 10, 5));
    assert_eq!(registry.observe_malformed("a"), RegistryChange::Gone);
    assert_eq!(ids(&registry), ["b"]);
    assert_eq!(
        registry.observe(ready("a", 10, 6)),
        RegistryChange::Appeared
    );
    assert_eq!(ids(&registry), ["a", "b"]);
}

#[test]
fn an_upstream_whose_entry_expired_in_an_outage_is_kept_until_it_could_register_again() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(ready("a", 10, 5));
    registry.observe(ready("b", 10, 5));
    registry.record_store_recovery(at(10_000));
    registry.observe_removed("a", at(10_000));
    registry.observe_removed("b", at(10_000));
    registry.observe(ready("a", 10, 6));
    assert!(!registry.expire(at(11_000)));
    assert_eq!(ids(&registry), ["a", "b"]);
    assert!(registry.expire(at(12_300)));
    assert_eq!(ids(&registry), ["a"]);
}

/// Guards against a grace period that starts at the removal of each entry: an upstream that left
/// 0.7 s after this router reached the store again received a request 2.7 s after it had left.
#[test]
fn the_grace_period_starts_when_the_store_recovers() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(ready("a", 10, 5));
    registry.record_store_recovery(at(10_000));
    registry.observe_removed("a", at(10_700));
    assert!(registry.expire(at(12_300)));
    assert!(ids(&registry).is_empty());
}

/// Guards against a router that reports upstreams which other routers know to be gone: after a
/// network partition it still waited for such an upstream to register again and reported it to
/// others.
#[test]
fn the_registry_reports_whether_it_keeps_missing_upstreams() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(ready("a", 10, 5));
    assert!(!registry.holds_missing());
    registry.record_store_recovery(at(10_000));
    registry.observe_removed("a", at(10_100));
    assert!(registry.holds_missing());
    registry.expire(at(12_300));
    assert!(!registry.holds_missing());
    registry.observe(ready("b", 10, 5));
    registry.record_store_recovery(at(20_000));
    registry.observe_removed("b", at(20_100));
    registry.observe(ready("b", 10, 6));
    assert!(!registry.holds_missing());
}

#[test]
fn without_an_outage_an_upstream_is_removed_with_its_entry() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(ready("a", 10, 5));
    assert_eq!(
        registry.observe_removed("a", at(5_000)),
        RegistryChange::Gone
    );
    assert!(ids(&registry).is_empty());
}

proptest! {
    /// In whatever order the entries of several incarnations arrive, the newest entry of the newest
    /// incarnation is kept.
    #[test]
    fn the_newest_entry_wins_in_any_order(order in Just(entries()).prop_shuffle()) {
        let mut registry = UpstreamRegistry::default();
        for entry in order {
            registry.observe(entry);
        }
        let kept = registry.upstreams().next().unwrap();
        prop_assert_eq!(kept.incarnation.started_at, Some(UnixMillis(3)));
        prop_assert_eq!(kept.sequence, 4);
    }
}

fn entries() -> Vec<UpstreamRecord> {
    (1..=3)
        .flat_map(|started_at| (1..=4).map(move |sequence| ready("a", started_at, sequence)))
        .collect()
}

/// Guards against an upstream that left and comes back because the copy from which the store came back holds its entry.
#[test]
fn an_entry_of_the_copy_brings_no_upstream_back_that_has_left() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(ready("a", 10, 5));
    registry.observe_removed("a", at(0));
    registry.begin_era(at(1_000));
    assert_eq!(registry.observe(ready("a", 10, 4)), RegistryChange::None);
    assert_eq!(
        registry.observe(ready("a", 10, 6)),
        RegistryChange::Appeared
    );
    registry.observe_removed("a", at(9_000));
    assert_eq!(
        registry.observe(ready("a", 11, 1)),
        RegistryChange::Appeared
    );
}

/// Guards against live upstreams that get no request because the copy lacks their entries.
#[test]
fn an_upstream_that_the_copy_lacks_is_kept_until_it_registers_again() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(ready("a", 10, 5));
    registry.begin_era(at(1_000));
    registry.retain_listed(|_| false, at(1_000));
    assert_eq!(ids(&registry), ["a"]);
    registry.observe(ready("a", 10, 6));
    registry.expire(at(9_000));
    assert_eq!(ids(&registry), ["a"]);
}

fn left(id: &str, started_at: u64, sequence: u64, is_gone: bool) -> LeftUpstream {
    LeftUpstream {
        incarnation: ready(id, started_at, sequence).incarnation,
        sequence,
        is_gone,
    }
}

/// Guards against entries of a copy of the store that bring back upstreams which another router knows to have left, whichever is heard first.
#[test]
fn an_upstream_that_left_elsewhere_is_not_brought_back_by_an_older_entry() {
    for is_told_first in [true, false] {
        let mut registry = UpstreamRegistry::default();
        let facts = [left("gone", 10, 7, true), left("leaving", 10, 7, false)];
        let tell = |registry: &mut UpstreamRegistry| {
            for left in facts.clone() {
                registry.observe_left(left);
            }
        };
        if is_told_first {
            tell(&mut registry);
        }
        registry.observe(ready("gone", 10, 5));
        registry.observe(ready("leaving", 10, 5));
        registry.observe(ready("other", 10, 5));
        if !is_told_first {
            tell(&mut registry);
        }
        assert_eq!(ids(&registry), ["leaving", "other"], "{is_told_first}");
        let stage = |id: &str| {
            let mut records = registry.upstreams();
            records
                .find(|record| record.incarnation.id.as_str() == id)
                .map(|record| record.stage)
        };
        assert_eq!(stage("leaving"), Some(UpstreamStage::Draining));
        assert_eq!(stage("other"), Some(UpstreamStage::Ready));
    }
}

/// The counterpart: one that registers again, or another process with its id, is taken in.
#[test]
fn an_upstream_that_returns_is_taken_in_whatever_was_known_elsewhere() {
    let mut registry = UpstreamRegistry::default();
    for (id, is_gone) in [("again", true), ("restarted", true), ("replaced", false)] {
        registry.observe_left(left(id, 10, 7, is_gone));
    }
    let changes = [
        registry.observe(ready("again", 10, 8)),
        registry.observe(ready("restarted", 11, 1)),
        registry.observe(ready("replaced", 11, 1)),
    ];
    assert_eq!(changes, [RegistryChange::Appeared; 3]);
}

#[test]
fn what_a_registry_knows_of_upstreams_that_left_is_told_for_a_while() {
    let mut registry = UpstreamRegistry::default();
    registry.observe(ready("a", 10, 5));
    registry.observe(record("b", 10, 6, UpstreamStage::Draining));
    registry.observe(ready("c", 10, 7));
    registry.observe_removed("c", at(1_000));
    let mut told = registry.left(at(2_000));
    told.sort_by(|one, other| one.incarnation.cmp(&other.incarnation));
    assert_eq!(told, [left("b", 10, 6, false), left("c", 10, 7, true)]);
    let later = registry.left(at(100_000));
    assert_eq!(later, [left("b", 10, 6, false)]);
}
