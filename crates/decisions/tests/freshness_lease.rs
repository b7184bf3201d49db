//! Tests of the freshness lease and of the propagation of a configuration record.

use std::time::Duration;

use ferry_decisions::lease::{
    FreshnessLease, LeaseBasis, LeaseDenial, LeaseOwner, LogObservation, PeerStatement,
    PropagationStage, PropagationTracker,
};
use ferry_decisions::names::{HostName, Incarnation};
use ferry_decisions::time::MonotonicTime;

const FRESHNESS: Duration = Duration::from_secs(3);

fn at(ms: i64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn hosts(names: &[&str]) -> Vec<HostName> {
    names.iter().map(|name| HostName::new(name)).collect()
}

fn lease(listed: &[&str]) -> FreshnessLease {
    let owner = LeaseOwner {
        host: HostName::new("a"),
        started_at: at(0),
        freshness: FRESHNESS,
    };
    let mut lease = FreshnessLease::new(owner);
    lease.relist(&hosts(listed));
    lease
}

/// A recovered lease that read the log's tail 1 at time 0 and made no read since.
fn recovered_lease(listed: &[&str]) -> FreshnessLease {
    let mut lease = lease(listed);
    lease.record_log_read(at(0), 1);
    lease.update(at(1), 1);
    assert!(lease.is_recovered());
    lease
}

fn statement(host: &str, requested_at: i64, next: u64) -> PeerStatement {
    PeerStatement {
        host: HostName::new(host),
        incarnation: Incarnation(uuid::Uuid::from_u128(1)),
        requested_at: at(requested_at),
        next_offset: next,
        log: None,
        recovered: true,
    }
}

fn with_log(mut statement: PeerStatement, age_ms: u64, tail: u64) -> PeerStatement {
    statement.log = Some(LogObservation {
        age: Duration::from_millis(age_ms),
        tail,
    });
    statement
}

#[test]
fn a_read_of_the_log_counts_from_its_start() {
    let mut lease = lease(&["a", "b", "c"]);
    lease.record_log_read(at(1_000), 5);
    let grant = lease.check(at(3_999), 5).unwrap();
    assert_eq!((grant.basis, grant.until), (LeaseBasis::Log, at(4_000)));
    assert!(lease.check(at(4_000), 5).is_err());
    let denial = lease.check(at(1_001), 4).unwrap_err();
    assert_eq!(denial, LeaseDenial::Behind { own: 4, tail: 5 });
}

#[test]
fn an_earlier_read_supports_the_lease_until_a_new_record_is_folded() {
    let mut lease = lease(&["a", "b", "c"]);
    lease.record_log_read(at(0), 5);
    lease.record_log_read(at(1_000), 6);
    assert_eq!(lease.check(at(2_999), 5).unwrap().until, at(3_000));
    assert!(lease.check(at(3_000), 5).is_err());
    assert_eq!(lease.check(at(2_000), 6).unwrap().until, at(4_000));
}

#[test]
fn a_peers_read_counts_from_its_start() {
    let mut lease = lease(&["a", "b", "c"]);
    let relayed = with_log(statement("b", 1_000, 5), 2_000, 5);
    lease.record_peer_statement(at(1_500), relayed);
    // The read began before this process did, at -1 s.
    let grant = lease.check(at(1_999), 5).unwrap();
    assert_eq!(grant.basis, LeaseBasis::Peer(HostName::new("b")));
    assert_eq!(grant.until, at(2_000));
    assert!(lease.check(at(2_000), 5).is_err());
}

#[test]
fn a_majority_without_newer_records_supports_a_lease_in_an_outage_of_the_log() {
    let mut lease = recovered_lease(&["a", "b", "c", "d", "e"]);
    lease.record_peer_statement(at(5_100), statement("b", 5_000, 1));
    let denial = lease.check(at(5_100), 1).unwrap_err();
    assert_eq!(
        denial,
        LeaseDenial::NoMajority {
            responding: 2,
            needed: 3
        }
    );
    lease.record_peer_statement(at(5_200), statement("c", 4_000, 1));
    let grant = lease.check(at(5_200), 1).unwrap();
    assert_eq!(grant.basis, LeaseBasis::Majority { responding: 3 });
    assert_eq!(grant.until, at(7_000));
    assert!(lease.check(at(7_000), 1).is_err());
}

#[test]
fn a_peer_with_a_newer_record_or_a_working_log_denies() {
    let mut lease = recovered_lease(&["a", "b", "c"]);
    lease.record_peer_statement(at(5_000), statement("b", 5_000, 1));
    assert!(lease.check(at(5_000), 1).is_ok());
    lease.record_peer_statement(at(5_000), statement("c", 5_000, 2));
    assert!(matches!(
        lease.check(at(5_000), 1),
        Err(LeaseDenial::PeerAhead { next: 2, .. })
    ));
    assert!(lease.check(at(5_000), 2).is_ok());

    let mut lease = recovered_lease(&["a", "b", "c"]);
    lease.record_peer_statement(at(5_000), with_log(statement("b", 5_000, 1), 2_000, 1));
    assert!(lease.check(at(5_999), 1).is_ok());
    assert_eq!(
        lease.check(at(6_500), 1).unwrap_err(),
        LeaseDenial::LogUnreachable {
            host: HostName::new("b")
        }
    );
}

#[test]
fn small_fleets_need_all_their_hosts() {
    let alone = recovered_lease(&["a"]);
    assert!(alone.check(at(60_000), 1).is_ok());
    let mut pair = recovered_lease(&["a", "b"]);
    assert!(matches!(
        pair.check(at(60_000), 1),
        Err(LeaseDenial::NoMajority {
            responding: 1,
            needed: 2
        })
    ));
    pair.record_peer_statement(at(60_000), statement("b", 60_000, 1));
    assert!(pair.check(at(60_000), 1).is_ok());
}

#[test]
fn a_process_started_in_an_outage_recovers_from_a_majority_of_the_others() {
    let mut lease = lease(&["a", "b", "c"]);
    lease.record_peer_statement(at(10), statement("b", 0, 3));
    lease.update(at(10), 3);
    assert_eq!(
        lease.check(at(10), 3).unwrap_err(),
        LeaseDenial::Recovering {
            responding: 1,
            needed: 2
        }
    );
    let mut unrecovered = statement("c", 0, 3);
    unrecovered.recovered = false;
    lease.record_peer_statement(at(10), unrecovered);
    lease.update(at(10), 3);
    assert!(!lease.is_recovered());
    lease.record_peer_statement(at(20), statement("c", 10, 4));
    lease.update(at(20), 3);
    assert!(!lease.is_recovered(), "c holds a newer record");
    lease.update(at(20), 4);
    assert!(lease.check(at(20), 4).is_ok());
}

#[test]
fn statements_requested_by_an_earlier_process_do_not_recover() {
    let mut lease = lease(&["a", "b", "c"]);
    for host in ["b", "c"] {
        lease.record_peer_statement(at(0), statement(host, -1, 1));
    }
    lease.update(at(0), 1);
    assert!(!lease.is_recovered());
}

#[test]
fn hosts_that_replace_the_whole_fleet_at_once_do_not_outvote_it() {
    let mut lease = recovered_lease(&["a", "b", "c"]);
    lease.relist(&hosts(&["a", "d", "e"]));
    for host in ["d", "e"] {
        lease.record_peer_statement(at(5_000), statement(host, 5_000, 1));
    }
    assert!(matches!(
        lease.check(at(5_000), 1),
        Err(LeaseDenial::NoMajority {
            responding: 1,
            needed: 2
        })
    ));
    lease.record_peer_statement(at(5_000), statement("b", 5_000, 1));
    assert!(lease.check(at(5_000), 1).is_ok());
    lease.update(at(5_000), 1);
    assert!(lease.check(at(8_000), 1).is_err());
    lease.record_peer_statement(at(9_000), statement("d", 9_000, 1));
    assert!(
        lease.check(at(9_000), 1).is_ok(),
        "majorities are counted by the new listing"
    );
}

#[test]
fn without_a_listing_there_is_no_majority() {
    let lease = lease(&[]);
    assert_eq!(lease.check(at(0), 0).unwrap_err(), LeaseDenial::NoListing);
}

#[test]
fn a_late_statement_does_not_replace_a_newer_one() {
    let mut lease = recovered_lease(&["a", "b"]);
    lease.record_peer_statement(at(5_000), statement("b", 5_000, 2));
    lease.record_peer_statement(at(5_001), statement("b", 4_000, 1));
    assert!(matches!(
        lease.check(at(5_001), 1),
        Err(LeaseDenial::PeerAhead { .. })
    ));
}

fn statement_of(host: &str, requested_at: i64, next: u64, id: u128) -> PeerStatement {
    PeerStatement {
        incarnation: Incarnation(uuid::Uuid::from_u128(id)),
        ..statement(host, requested_at, next)
    }
}

#[test]
fn a_record_is_accepted_only_if_a_majority_held_it_at_one_moment() {
    let listed = hosts(&["a", "b", "c"]);
    let mut tracker = PropagationTracker::new(7, FRESHNESS);
    // One incarnation of b confirmed and ended before a received the record.
    tracker.observe(at(100), &statement_of("b", 90, 8, 1));
    tracker.observe(at(5_000), &statement_of("a", 5_000, 8, 1));
    let status = tracker.status(at(5_000), &listed, &listed);
    assert_eq!(status.stage, PropagationStage::Published);
    assert_eq!(status.waiting, hosts(&["c"]));
    // The next incarnation of b does not hold it.
    tracker.observe(at(5_100), &statement_of("b", 5_050, 7, 2));
    let status = tracker.status(at(60_000), &listed, &listed);
    assert_eq!(status.stage, PropagationStage::Published);
    assert_eq!(status.waiting, hosts(&["b", "c"]));
    tracker.observe(at(60_100), &statement_of("b", 60_050, 8, 2));
    tracker.observe(at(60_100), &statement_of("a", 60_100, 8, 1));
    // A single statement of b does not prove that it held the record at the same time as a.
    let status = tracker.status(at(60_100), &listed, &listed);
    assert_eq!(status.stage, PropagationStage::Published);
    tracker.observe(at(60_210), &statement_of("b", 60_200, 8, 2));
    tracker.observe(at(60_210), &statement_of("a", 60_210, 8, 1));
    let status = tracker.status(at(60_210), &listed, &listed);
    assert_eq!(status.stage, PropagationStage::Accepted);
    assert_eq!(status.waiting, hosts(&["c"]));
    let status = tracker.status(at(63_200), &listed, &listed);
    assert_eq!(status.stage, PropagationStage::Accepted);
    let status = tracker.status(at(63_310), &listed, &listed);
    assert_eq!(status.stage, PropagationStage::InForce);
    assert!(status.waiting.is_empty());
}

#[test]
fn a_record_that_all_confirmed_is_in_force_at_once() {
    let listed = hosts(&["a", "b"]);
    let mut tracker = PropagationTracker::new(0, FRESHNESS);
    tracker.observe(at(0), &statement_of("a", 0, 1, 1));
    tracker.observe(at(20), &statement_of("b", 10, 1, 1));
    tracker.observe(at(30), &statement_of("a", 30, 1, 1));
    tracker.observe(at(40), &statement_of("b", 30, 1, 1));
    let status = tracker.status(at(40), &listed, &listed);
    assert_eq!(status.stage, PropagationStage::InForce);
}
