//! Tests of the membership table and the peer graph.

use std::collections::BTreeSet;
use std::time::Duration;

use ferry_decisions::lease::LogObservation;
use ferry_decisions::membership::{
    AgedRow, ConfigPosition, HostHealth, ListedRouter, MESH_LIMIT, MemberChange, MemberRow,
    MembershipDelta, MembershipQuery, MembershipTable, OwnReport, neighbours,
};
use ferry_decisions::names::{HostName, Incarnation, ZoneName};
use ferry_decisions::time::MonotonicTime;

fn at(ms: i64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn row(host: &str, generation: u64, sequence: u64) -> MemberRow {
    MemberRow {
        host: HostName::new(host),
        zone: ZoneName::new("obour-hall"),
        incarnation: Incarnation(uuid::Uuid::from_u128(u128::from(generation))),
        generation,
        address: "127.0.0.1:7001".parse().unwrap(),
        sequence,
        config: ConfigPosition::default(),
        log: None,
        log_working: true,
        leaving: false,
        recovered: true,
    }
}

fn table(host: &str) -> MembershipTable {
    MembershipTable::new(row(host, 100, 0), at(0))
}

fn delta(rows: Vec<MemberRow>) -> MembershipDelta {
    let aged = |row| AgedRow {
        row,
        age: Duration::ZERO,
    };
    MembershipDelta {
        rows: rows.into_iter().map(aged).collect(),
        after: None,
    }
}

fn names(count: usize) -> Vec<HostName> {
    (0..count)
        .map(|index| HostName::new(&format!("entry-{index}")))
        .collect()
}

#[test]
fn late_rows_of_an_earlier_incarnation_are_ignored() {
    let mut table = table("a");
    table.apply_delta(at(10), at(0), &delta(vec![row("b", 5, 1)]));
    let applied = table.apply_delta(at(20), at(10), &delta(vec![row("b", 6, 1)]));
    assert_eq!(
        applied.changes,
        [MemberChange::Restarted(HostName::new("b"))]
    );
    let applied = table.apply_delta(at(30), at(20), &delta(vec![row("b", 5, 99)]));
    assert!(applied.statements.is_empty());
    assert_eq!(table.row(&HostName::new("b")).unwrap().generation, 6);
}

#[test]
fn a_row_is_dated_by_the_query_and_its_age() {
    let mut table = table("a");
    let mut reported = row("b", 5, 1);
    reported.log = Some(LogObservation {
        age: Duration::from_millis(50),
        tail: 3,
    });
    let relayed = MembershipDelta {
        rows: vec![AgedRow {
            row: reported,
            age: Duration::from_millis(400),
        }],
        after: None,
    };
    let applied = table.apply_delta(at(1_500), at(1_000), &relayed);
    assert_eq!(applied.statements[0].requested_at, at(600));
    assert_eq!(applied.statements[0].log_began(), Some(at(550)));
    // An older date never replaces a newer one, and the row of a received heartbeat keeps the date.
    let applied = table.apply_delta(at(1_600), at(0), &delta(vec![row("b", 5, 2)]));
    assert_eq!(applied.statements[0].requested_at, at(600));
    let query = MembershipQuery {
        row: row("b", 5, 3),
        after: None,
    };
    let applied = table.apply_query(at(9_000), &query);
    assert_eq!(applied.statements[0].requested_at, at(600));
    assert_eq!(
        table.health(at(9_000), &HostName::new("b")),
        Some(HostHealth::Live)
    );
}

#[test]
fn a_host_without_statements_becomes_suspect_then_dead() {
    let mut table = table("a");
    let b = HostName::new("b");
    assert_eq!(table.health(at(0), &b), None);
    table.apply_delta(at(0), at(0), &delta(vec![row("b", 5, 1)]));
    assert_eq!(table.live(at(1_000)).len(), 2);
    assert_eq!(table.health(at(2_500), &b), Some(HostHealth::Suspect));
    assert_eq!(table.live(at(2_500)).len(), 1);
    assert_eq!(table.health(at(11_000), &b), Some(HostHealth::Dead));
    assert_eq!(table.known(at(11_000)), [HostName::new("a")]);
}

#[test]
fn leaving_hosts_get_no_work_and_still_count_as_listed() {
    let mut table = table("a");
    let listing: Vec<ListedRouter> = ["a", "b", "c", "d"]
        .iter()
        .map(|name| ListedRouter {
            host: HostName::new(name),
            address: "127.0.0.1:7002".parse().unwrap(),
            leaving: *name == "c",
        })
        .collect();
    table.relist(at(0), &listing);
    table.apply_delta(at(0), at(0), &delta(vec![row("b", 5, 1)]));
    let mut leaving = row("b", 5, 2);
    leaving.leaving = true;
    let applied = table.apply_delta(at(10), at(10), &delta(vec![leaving]));
    assert_eq!(applied.changes, [MemberChange::Leaving(HostName::new("b"))]);
    assert_eq!(table.live(at(10)), [HostName::new("a")]);
    assert_eq!(table.listed().len(), 4);
    assert_eq!(table.majority(), 3);
    assert_eq!(table.neighbours(at(10)).len(), 3);
}

#[test]
fn a_restarted_process_is_later_than_its_predecessor_and_a_replaced_one_detects_it() {
    let mut restarted = table("a");
    let earlier = row("a", 900, 7);
    let applied = restarted.apply_delta(at(100), at(90), &delta(vec![earlier.clone()]));
    assert!(applied.changes.is_empty());
    assert!(restarted.own().incarnation_order() > earlier.incarnation_order());

    let mut replaced = table("a");
    let applied = replaced.apply_delta(at(60_000), at(59_900), &delta(vec![earlier]));
    assert_eq!(applied.changes, [MemberChange::Replaced]);
}

#[test]
fn answers_are_bounded_and_reach_every_row_in_turn() {
    let mut table = table("own");
    let hosts = names(600);
    let rows: Vec<MemberRow> = hosts.iter().map(|host| row(host.as_str(), 1, 1)).collect();
    for part in rows.chunks(100) {
        table.apply_delta(at(0), at(0), &delta(part.to_vec()));
    }
    table.report_own(&OwnReport::default());
    let mut query = MembershipQuery {
        row: row("sender", 1, 1),
        after: None,
    };
    let mut seen = BTreeSet::new();
    for _ in 0..3 {
        let answer = table.answer(at(6_000), &query);
        assert!(answer.rows.len() <= 256);
        assert_eq!(answer.rows[0].row.host, HostName::new("own"));
        seen.extend(answer.rows.iter().map(|aged| aged.row.host.clone()));
        query.after = answer.after;
    }
    assert_eq!(seen.len(), 601);
}

#[test]
fn small_fleets_form_a_mesh_and_large_ones_a_connected_graph_of_bounded_degree() {
    let mesh = names(MESH_LIMIT);
    assert_eq!(neighbours(&mesh[0], &mesh).len(), MESH_LIMIT - 1);
    for size in [9, 16, 64, 330] {
        let hosts = names(size);
        let graph: Vec<Vec<HostName>> = hosts.iter().map(|own| neighbours(own, &hosts)).collect();
        assert!(graph.iter().all(|chosen| (2..=8).contains(&chosen.len())));
        let mut reached = BTreeSet::from([hosts[0].clone()]);
        let mut rounds = 0;
        while reached.len() < size {
            let next: BTreeSet<HostName> = reached
                .iter()
                .filter_map(|host| hosts.iter().position(|known| known == host))
                .flat_map(|index| graph[index].clone())
                .collect();
            reached.extend(next);
            rounds += 1;
            assert!(rounds <= 6, "{size} hosts are not reached in 6 rounds");
        }
        for (own, chosen) in hosts.iter().zip(&graph) {
            assert!(
                chosen
                    .iter()
                    .all(|host| neighbours(host, &hosts).contains(own))
            );
        }
    }
}
