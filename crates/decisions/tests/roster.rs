//! The registry of upstreams, built from their entries.

use std::time::Duration;

use ferry_decisions::roster::{
    RosterChange, UpstreamLife, UpstreamRecord, UpstreamRoster, UpstreamStage,
};
use ferry_decisions::time::{MonotonicTime, UnixMillis};
use proptest::prelude::*;

fn record(id: &str, born: u64, sequence: u64, stage: UpstreamStage) -> UpstreamRecord {
    UpstreamRecord {
        life: UpstreamLife {
            id: id.into(),
            born: Some(UnixMillis(born)),
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

fn ready(id: &str, born: u64, sequence: u64) -> UpstreamRecord {
    record(id, born, sequence, UpstreamStage::Ready)
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default().after(Duration::from_millis(millis))
}

fn ids(roster: &UpstreamRoster) -> Vec<String> {
    let mut ids: Vec<String> = roster
        .upstreams()
        .map(|record| record.life.id.to_string())
        .collect();
    ids.sort();
    ids
}

#[test]
fn an_older_entry_changes_nothing() {
    let mut roster = UpstreamRoster::default();
    roster.observe(record("a", 10, 5, UpstreamStage::Draining));
    assert_eq!(roster.observe(ready("a", 10, 4)), RosterChange::None);
    assert_eq!(roster.observe(ready("a", 9, 90)), RosterChange::None);
    let stage = roster.upstreams().next().unwrap().stage;
    assert_eq!(stage, UpstreamStage::Draining);
}

#[test]
fn a_leaving_upstream_remains_so_until_it_restarts() {
    let mut roster = UpstreamRoster::default();
    roster.observe(record("a", 10, 5, UpstreamStage::Draining));
    roster.observe(ready("a", 10, 6));
    assert_eq!(
        roster.upstreams().next().unwrap().stage,
        UpstreamStage::Draining
    );
    assert_eq!(roster.observe(ready("a", 11, 1)), RosterChange::Appeared);
    assert_eq!(
        roster.upstreams().next().unwrap().stage,
        UpstreamStage::Ready
    );
}

#[test]
fn a_malformed_entry_unlists_its_upstream_until_a_readable_one_follows() {
    let mut roster = UpstreamRoster::default();
    roster.observe(ready("a", 10, 5));
    roster.observe(ready("b", 10, 5));
    assert_eq!(roster.observe_malformed("a"), RosterChange::Gone);
    assert_eq!(ids(&roster), ["b"]);
    assert_eq!(roster.observe(ready("a", 10, 6)), RosterChange::Appeared);
    assert_eq!(ids(&roster), ["a", "b"]);
}

#[test]
fn an_upstream_whose_entry_expired_in_an_outage_is_kept_until_it_could_register_again() {
    let mut roster = UpstreamRoster::default();
    roster.observe(ready("a", 10, 5));
    roster.observe(ready("b", 10, 5));
    roster.note_return(at(10_000));
    roster.observe_removed("a", at(10_000));
    roster.observe_removed("b", at(10_000));
    roster.observe(ready("a", 10, 6));
    assert!(!roster.expire(at(11_000)));
    assert_eq!(ids(&roster), ["a", "b"]);
    assert!(roster.expire(at(12_300)));
    assert_eq!(ids(&roster), ["a"]);
}

/// Guards against a grace period that starts at the removal of each entry: an upstream that left
/// 0.7 s after this router reached the store again received a request 2.7 s after it had left.
#[test]
fn the_grace_period_starts_when_the_store_recovers() {
    let mut roster = UpstreamRoster::default();
    roster.observe(ready("a", 10, 5));
    roster.note_return(at(10_000));
    roster.observe_removed("a", at(10_700));
    assert!(roster.expire(at(12_300)));
    assert!(ids(&roster).is_empty());
}

/// Guards against a router that reports upstreams which other routers know to be gone: after a
/// network partition it still waited for one to register again and passed it on.
#[test]
fn the_registry_reports_whether_it_keeps_missing_upstreams() {
    let mut roster = UpstreamRoster::default();
    roster.observe(ready("a", 10, 5));
    assert!(!roster.holds_missing());
    roster.note_return(at(10_000));
    roster.observe_removed("a", at(10_100));
    assert!(roster.holds_missing());
    roster.expire(at(12_300));
    assert!(!roster.holds_missing());
    roster.observe(ready("b", 10, 5));
    roster.note_return(at(20_000));
    roster.observe_removed("b", at(20_100));
    roster.observe(ready("b", 10, 6));
    assert!(!roster.holds_missing());
}

#[test]
fn without_an_outage_an_upstream_is_removed_with_its_entry() {
    let mut roster = UpstreamRoster::default();
    roster.observe(ready("a", 10, 5));
    assert_eq!(roster.observe_removed("a", at(5_000)), RosterChange::Gone);
    assert!(ids(&roster).is_empty());
}

proptest! {
    /// In whatever order the entries of several incarnations arrive, the newest entry of the newest
    /// incarnation is kept.
    #[test]
    fn the_newest_entry_wins_in_any_order(order in Just(entries()).prop_shuffle()) {
        let mut roster = UpstreamRoster::default();
        for entry in order {
            roster.observe(entry);
        }
        let kept = roster.upstreams().next().unwrap();
        prop_assert_eq!(kept.life.born, Some(UnixMillis(3)));
        prop_assert_eq!(kept.sequence, 4);
    }
}

fn entries() -> Vec<UpstreamRecord> {
    (1..=3)
        .flat_map(|born| (1..=4).map(move |sequence| ready("a", born, sequence)))
        .collect()
}
